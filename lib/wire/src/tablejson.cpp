#include "nutmegwell/wire/tablejson.h"

#include "nutmegwell/wire/json.h"
#include <algorithm>
#include <functional>

namespace nutmegwell::wire {

namespace {

using cxxtools::SerializationInfo;
using model::Finding;

constexpr std::int64_t MaxNumber = UINT32_MAX;

/// Reads the fields of one row and notes what is wrong with them.
class RowReader {
public:
  RowReader(const SerializationInfo &Row, const char *Table, std::size_t Number,
            std::vector<Finding> &Findings)
      : Row_(Row), Table_(Table), Number_(Number), Findings_(Findings) {}

  void text(const char *Name, std::string &Value) {
    Known_.push_back(Name);
    if (!Row_.findMember(Name))
      add(Name, "is missing");
    else
      Value = textMember(Row_, Name);
  }

  void number(const char *Name, std::uint32_t &Value) {
    std::int64_t Number = Value;
    readNumber(Name, Number);
    Value = static_cast<std::uint32_t>(Number);
  }

  void milliseconds(const char *Name, core::Duration &Value) {
    using std::chrono::milliseconds;
    std::int64_t Number =
        std::chrono::duration_cast<milliseconds>(Value).count();
    readNumber(Name, Number);
    Value = milliseconds(Number);
  }

  void flag(const char *Name, bool &Value) {
    Known_.push_back(Name);
    if (!boolMember(Row_, Name, Value))
      add(Name, "must be true or false");
  }

  void level(const char *Name, model::Level &Value) {
    Known_.push_back(Name);
    if (Row_.findMember(Name) &&
        !model::parseLevel(textMember(Row_, Name), Value))
      add(Name, "must be 'worker', 'rack' or 'domain'");
  }

  /// Notes every member that no other call has named.
  void finish() {
    for (const auto &Member : Row_)
      if (std::find(Known_.begin(), Known_.end(), Member.name()) ==
          Known_.end())
        add(Member.name().c_str(), "unknown field");
  }

private:
  void readNumber(const char *Name, std::int64_t &Value) {
    Known_.push_back(Name);
    if (!numberMember(Row_, Name, 0, MaxNumber, Value))
      add(Name, "must be a whole number from 0 to 4294967295");
  }

  void add(const char *Field, const char *Message) {
    Findings_.push_back({Table_, Number_, Field, Message});
  }

  const SerializationInfo &Row_;
  const char *Table_;
  std::size_t Number_;
  std::vector<Finding> &Findings_;
  std::vector<std::string> Known_;
};

using ReadRow = std::function<void(RowReader &)>;

std::vector<Finding> parseTable(const std::string &Text, const char *Name,
                                const ReadRow &Read) {
  auto Root = parseJson(Text);
  if (!Root.ok())
    return {{Name, 0, "", std::string(Root.status().message())}};
  const SerializationInfo *Rows = Root->findMember(Name);
  if (!Rows || Rows->category() != SerializationInfo::Array)
    return {{Name, 0, Name, "must be an array of rows"}};
  std::vector<Finding> Findings;
  std::size_t Number = 0;
  for (const auto &Row : *Rows) {
    RowReader Reader(Row, Name, ++Number, Findings);
    Read(Reader);
    Reader.finish();
  }
  return Findings;
}

} // namespace

std::vector<Finding> parseRoutes(const std::string &Text,
                                 model::RoutesTable &Table) {
  Table.Rows_.clear();
  return parseTable(Text, "routes", [&Table](RowReader &Reader) {
    model::RouteRow Row;
    Reader.text("path", Row.Path_);
    Reader.text("service", Row.Service_);
    Reader.milliseconds("timeout_ms", Row.Timeout_);
    Reader.flag("idempotent", Row.Idempotent_);
    Reader.number("queue", Row.Queue_);
    Table.Rows_.push_back(Row);
  });
}

std::vector<Finding> parsePools(const std::string &Text,
                                model::PoolsTable &Table) {
  Table.Rows_.clear();
  return parseTable(Text, "pools", [&Table](RowReader &Reader) {
    model::PoolRow Row;
    Reader.text("name", Row.Name_);
    Reader.text("account", Row.Account_);
    Reader.text("service", Row.Service_);
    Reader.text("domain", Row.Domain_);
    Reader.number("guaranteed", Row.Guaranteed_);
    Reader.number("block", Row.Block_);
    Reader.level("level", Row.Level_);
    Reader.number("limit", Row.Limit_);
    Reader.number("requests", Row.Requests_);
    Table.Rows_.push_back(Row);
  });
}

std::string formatRoutes(const model::RoutesTable &Table) {
  using std::chrono::milliseconds;
  SerializationInfo Root;
  SerializationInfo &Rows = Root.addMember("routes");
  Rows.setCategory(SerializationInfo::Array);
  for (const model::RouteRow &Row : Table.Rows_) {
    SerializationInfo &Out = Rows.addMember();
    Out.addValue("path", Row.Path_);
    Out.addValue("service", Row.Service_);
    Out.addValue(
        "timeout_ms",
        std::chrono::duration_cast<milliseconds>(Row.Timeout_).count());
    Out.addValue("idempotent", Row.Idempotent_);
    Out.addValue("queue", Row.Queue_);
  }
  return formatJson(Root, true);
}

std::string formatPools(const model::PoolsTable &Table) {
  SerializationInfo Root;
  SerializationInfo &Rows = Root.addMember("pools");
  Rows.setCategory(SerializationInfo::Array);
  for (const model::PoolRow &Row : Table.Rows_) {
    SerializationInfo &Out = Rows.addMember();
    Out.addValue("name", Row.Name_);
    Out.addValue("account", Row.Account_);
    Out.addValue("service", Row.Service_);
    Out.addValue("domain", Row.Domain_);
    Out.addValue("guaranteed", Row.Guaranteed_);
    Out.addValue("block", Row.Block_);
    Out.addValue("level", std::string(model::toString(Row.Level_)));
    Out.addValue("limit", Row.Limit_);
    Out.addValue("requests", Row.Requests_);
  }
  return formatJson(Root, true);
}

} // namespace nutmegwell::wire
