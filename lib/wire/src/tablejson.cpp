#include "nutmegwell/wire/tablejson.h"

#include "nutmegwell/wire/json.h"
#include "rowreader.h"
#include "tableinfo.h"
#include <functional>

namespace nutmegwell::wire {

namespace {

using cxxtools::SerializationInfo;
using model::ValidationError;

using ReadRow = std::function<void(RowReader &)>;

std::vector<ValidationError> parseTable(const std::string &Text,
                                        const char *Name, const ReadRow &Read) {
  auto Root = parseJson(Text);
  if (!Root.ok())
    return {{Name, 0, "", std::string(Root.status().message())}};
  const SerializationInfo *Rows = Root->findMember(Name);
  if (!Rows || Rows->category() != SerializationInfo::Array)
    return {{Name, 0, Name, "must be an array of objects"}};
  std::vector<ValidationError> Errors;
  std::size_t Number = 0;
  for (const auto &Row : *Rows) {
    RowReader Reader(Row, Name, ++Number, Errors);
    Read(Reader);
    Reader.rejectUnknownFields();
  }
  return Errors;
}

} // namespace

std::vector<ValidationError> parseRoutes(const std::string &Text,
                                         model::RoutesTable &Table) {
  Table.Rows_.clear();
  return parseTable(Text, "routes", [&Table](RowReader &Reader) {
    model::RouteRow Row;
    Reader.text("path", Row.PathPrefix_);
    Reader.text("service", Row.Service_);
    Reader.milliseconds("timeout_ms", Row.Timeout_);
    Reader.flag("idempotent", Row.Idempotent_);
    Reader.number("queue", Row.QueueLimit_);
    Table.Rows_.push_back(Row);
  });
}

std::vector<ValidationError> parsePools(const std::string &Text,
                                        model::PoolsTable &Table) {
  Table.Rows_.clear();
  return parseTable(Text, "pools", [&Table](RowReader &Reader) {
    model::PoolRow Row;
    Reader.text("name", Row.Name_);
    Reader.text("account", Row.Account_);
    Reader.text("service", Row.Service_);
    Reader.text("domain", Row.Domain_);
    Reader.number("guaranteed", Row.Guaranteed_);
    Reader.number("block", Row.BlockSize_);
    Reader.level("level", Row.Level_);
    Reader.number("limit", Row.AcceleratorLimit_);
    Reader.number("requests", Row.RequestLimit_);
    Table.Rows_.push_back(Row);
  });
}

void addRoutes(SerializationInfo &Root, const model::RoutesTable &Table) {
  using std::chrono::milliseconds;
  SerializationInfo &Rows = Root.addMember("routes");
  Rows.setCategory(SerializationInfo::Array);
  for (const model::RouteRow &Row : Table.Rows_) {
    SerializationInfo &Out = Rows.addMember();
    Out.addValue("path", Row.PathPrefix_);
    Out.addValue("service", Row.Service_);
    Out.addValue(
        "timeout_ms",
        std::chrono::duration_cast<milliseconds>(Row.Timeout_).count());
    Out.addValue("idempotent", Row.Idempotent_);
    Out.addValue("queue", Row.QueueLimit_);
  }
}

void addPools(SerializationInfo &Root, const model::PoolsTable &Table) {
  SerializationInfo &Rows = Root.addMember("pools");
  Rows.setCategory(SerializationInfo::Array);
  for (const model::PoolRow &Row : Table.Rows_) {
    SerializationInfo &Out = Rows.addMember();
    Out.addValue("name", Row.Name_);
    Out.addValue("account", Row.Account_);
    Out.addValue("service", Row.Service_);
    Out.addValue("domain", Row.Domain_);
    Out.addValue("guaranteed", Row.Guaranteed_);
    Out.addValue("block", Row.BlockSize_);
    Out.addValue("level", std::string(model::toString(Row.Level_)));
    Out.addValue("limit", Row.AcceleratorLimit_);
    Out.addValue("requests", Row.RequestLimit_);
  }
}

std::string formatRoutes(const model::RoutesTable &Table) {
  SerializationInfo Root;
  addRoutes(Root, Table);
  return formatJson(Root, true);
}

std::string formatPools(const model::PoolsTable &Table) {
  SerializationInfo Root;
  addPools(Root, Table);
  return formatJson(Root, true);
}

} // namespace nutmegwell::wire
