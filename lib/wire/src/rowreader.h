#pragma once

#include "nutmegwell/model/tables.h"
#include "nutmegwell/wire/json.h"
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegwell::wire {

/// Reads the fields of one JSON object and notes what is wrong with them.
class RowReader {
public:
  static constexpr std::int64_t MaxNumber = UINT32_MAX;

  RowReader(const cxxtools::SerializationInfo &Row, const char *Table,
            std::size_t Number, std::vector<model::ValidationError> &Errors)
      : Row_(Row), Table_(Table), Number_(Number), Errors_(Errors) {}

  void text(const char *Name, std::string &Value) {
    Known_.push_back(Name);
    if (!Row_.findMember(Name))
      add(Name, "is missing");
    else
      Value = textMember(Row_, Name);
  }

  /// As text, but refuses an empty text and more than \p MaxBytes bytes.
  void text(const char *Name, std::string &Value, std::size_t MaxBytes) {
    text(Name, Value);
    if (Row_.findMember(Name) && (Value.empty() || Value.size() > MaxBytes))
      add(Name,
          "must be a text of 1 to " + std::to_string(MaxBytes) + " bytes");
  }

  void number(const char *Name, std::uint32_t &Value, std::int64_t Min = 0,
              std::int64_t Max = MaxNumber) {
    std::int64_t Number = Value;
    readNumber(Name, Number, Min, Max);
    Value = static_cast<std::uint32_t>(Number);
  }

  void milliseconds(const char *Name, core::Duration &Value,
                    std::int64_t Min = 0, std::int64_t Max = MaxNumber) {
    using std::chrono::milliseconds;
    std::int64_t Number =
        std::chrono::duration_cast<milliseconds>(Value).count();
    readNumber(Name, Number, Min, Max);
    Value = milliseconds(Number);
  }

  void flag(const char *Name, bool &Value) {
    Known_.push_back(Name);
    if (!boolMember(Row_, Name, Value))
      add(Name, "must be true or false");
  }

  /// Reads one of a set of names by \p Parse, such as model::parseLevel.
  template <typename T>
  void choice(const char *Name, T &Value,
              bool (*Parse)(const std::string &, T &), const char *Message) {
    Known_.push_back(Name);
    if (Row_.findMember(Name) && !Parse(textMember(Row_, Name), Value))
      add(Name, Message);
  }

  void level(const char *Name, model::TopologyLevel &Value) {
    choice(Name, Value, model::parseLevel,
           "must be 'worker', 'rack' or 'domain'");
  }

  /// Notes every member that no other call has named.
  void finish() {
    for (const auto &Member : Row_)
      if (std::find(Known_.begin(), Known_.end(), Member.name()) ==
          Known_.end())
        add(Member.name().c_str(), "unknown field");
  }

private:
  void readNumber(const char *Name, std::int64_t &Value, std::int64_t Min,
                  std::int64_t Max) {
    Known_.push_back(Name);
    if (!numberMember(Row_, Name, Min, Max, Value))
      add(Name, "must be a whole number from " + std::to_string(Min) + " to " +
                    std::to_string(Max));
  }

  void add(const char *Field, const std::string &Message) {
    Errors_.push_back({Table_, Number_, Field, Message});
  }

  const cxxtools::SerializationInfo &Row_;
  const char *Table_;
  std::size_t Number_;
  std::vector<model::ValidationError> &Errors_;
  std::vector<std::string> Known_;
};

} // namespace nutmegwell::wire
