#pragma once

#include "nutmegwell/model/tables.h"
#include "nutmegwell/wire/json.h"
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegwell::wire {

/// Reads the fields of one JSON object, such as a row of a table, and records
/// an error for each invalid one.
class RowReader {
public:
  static constexpr std::int64_t MaxNumber = UINT32_MAX;

  RowReader(const cxxtools::SerializationInfo &Row, const char *Table,
            std::size_t Number, std::vector<model::ValidationError> &Errors)
      : Row_(Row), Table_(Table), RowNumber_(Number), Errors_(Errors) {}

  /// Reads a text. Records an error when the member is missing.
  void text(const char *Name, std::string &Value) {
    ReadFields_.push_back(Name);
    if (!Row_.findMember(Name))
      addError(Name, "is missing");
    else
      Value = textMember(Row_, Name);
  }

  /// Like the other overload, but records an error for a text that is empty or
  /// longer than \p MaxBytes bytes.
  void text(const char *Name, std::string &Value, std::size_t MaxBytes) {
    text(Name, Value);
    if (Row_.findMember(Name) && (Value.empty() || Value.size() > MaxBytes))
      addError(Name,
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
    ReadFields_.push_back(Name);
    if (!boolMember(Row_, Name, Value))
      addError(Name, "must be true or false");
  }

  /// Reads one of a set of names with \p Parse, such as model::parseLevel, and
  /// records \p Message when \p Parse returns false.
  template <typename T>
  void choice(const char *Name, T &Value,
              bool (*Parse)(const std::string &, T &), const char *Message) {
    ReadFields_.push_back(Name);
    if (Row_.findMember(Name) && !Parse(textMember(Row_, Name), Value))
      addError(Name, Message);
  }

  void level(const char *Name, model::TopologyLevel &Value) {
    choice(Name, Value, model::parseLevel,
           "must be 'worker', 'rack' or 'domain'");
  }

  /// Records an error for each member that none of the calls above has read.
  void rejectUnknownFields() {
    for (const auto &Member : Row_)
      if (std::find(ReadFields_.begin(), ReadFields_.end(), Member.name()) ==
          ReadFields_.end())
        addError(Member.name().c_str(), "unknown field");
  }

private:
  void readNumber(const char *Name, std::int64_t &Value, std::int64_t Min,
                  std::int64_t Max) {
    ReadFields_.push_back(Name);
    if (!numberMember(Row_, Name, Min, Max, Value))
      addError(Name, "must be a whole number from " + std::to_string(Min) +
                         " to " + std::to_string(Max));
  }

  void addError(const char *Field, const std::string &Message) {
    Errors_.push_back({Table_, RowNumber_, Field, Message});
  }

  const cxxtools::SerializationInfo &Row_;
  const char *Table_;
  std::size_t RowNumber_;
  std::vector<model::ValidationError> &Errors_;
  std::vector<std::string> ReadFields_;
};

} // namespace nutmegwell::wire
