#include "nutmegwell/wire/apijson.h"

#include "jobinfo.h"
#include "nutmegwell/wire/json.h"

namespace nutmegwell::wire {

using cxxtools::SerializationInfo;

namespace {

absl::Status invalid(const std::string &Message) {
  return core::makeError(absl::StatusCode::kInvalidArgument, "parse status", "",
                         Message);
}

void addDomains(SerializationInfo &Rows,
                const std::vector<DomainView> &Domains) {
  Rows.setCategory(SerializationInfo::Array);
  for (const DomainView &Domain : Domains) {
    SerializationInfo &Row = Rows.addMember();
    Row.addValue("name", Domain.Name_);
    Row.addValue("in_service", Domain.InService_);
    Row.addValue("version", Domain.Version_);
    Row.addValue("holder", Domain.Holder_);
    Row.addValue("term", Domain.Term_);
  }
}

void addNodes(SerializationInfo &Rows, const std::vector<NodeView> &Nodes) {
  Rows.setCategory(SerializationInfo::Array);
  for (const NodeView &Node : Nodes) {
    SerializationInfo &Row = Rows.addMember();
    Row.addValue("name", Node.Name_);
    Row.addValue("kind", Node.Kind_);
    Row.addValue("state", Node.State_);
    Row.addValue("domain", Node.Domain_);
    Row.addValue("rack", Node.Rack_);
    Row.addValue("accelerators", Node.Accelerators_);
  }
}

bool readNumber(const SerializationInfo &Row, const char *Name,
                std::uint64_t &Value) {
  std::int64_t Number = 0;
  const bool Read = numberMember(Row, Name, 0, INT64_MAX, Number);
  Value = static_cast<std::uint64_t>(Number);
  return Read;
}

bool readDomain(const SerializationInfo &Row, DomainView &Domain) {
  Domain.Name_ = textMember(Row, "name");
  Domain.Holder_ = textMember(Row, "holder");
  return !Domain.Name_.empty() &&
         boolMember(Row, "in_service", Domain.InService_) &&
         readNumber(Row, "version", Domain.Version_) &&
         readNumber(Row, "term", Domain.Term_);
}

bool readNode(const SerializationInfo &Row, NodeView &Node) {
  Node.Name_ = textMember(Row, "name");
  Node.Kind_ = textMember(Row, "kind");
  Node.State_ = textMember(Row, "state");
  Node.Domain_ = textMember(Row, "domain");
  Node.Rack_ = textMember(Row, "rack");
  std::int64_t Accelerators = 0;
  const bool Read =
      numberMember(Row, "accelerators", 0, UINT32_MAX, Accelerators);
  Node.Accelerators_ = static_cast<std::uint32_t>(Accelerators);
  return Read && !Node.Name_.empty();
}

} // namespace

std::string formatStatus(const StatusView &Status) {
  SerializationInfo Root;
  Root.addValue("node", Status.Node_);
  Root.addValue("config_offset", Status.ConfigOffset_);
  Root.addValue("log_available", Status.LogAvailable_);
  addDomains(Root.addMember("domains"), Status.Domains_);
  addNodes(Root.addMember("nodes"), Status.Nodes_);
  SerializationInfo &Jobs = Root.addMember("jobs");
  Jobs.setCategory(SerializationInfo::Array);
  for (const model::Job &Job : Status.Jobs_)
    addJob(Jobs.addMember(), Job);
  return formatJson(Root);
}

absl::StatusOr<StatusView> parseStatus(const std::string &Text) {
  auto Root = parseJson(Text);
  if (!Root.ok())
    return Root.status();
  StatusView Status;
  Status.Node_ = textMember(*Root, "node");
  if (!readNumber(*Root, "config_offset", Status.ConfigOffset_) ||
      !boolMember(*Root, "log_available", Status.LogAvailable_))
    return invalid("the member config_offset or log_available is malformed");
  const SerializationInfo *Domains = Root->findMember("domains");
  const SerializationInfo *Nodes = Root->findMember("nodes");
  const SerializationInfo *Jobs = Root->findMember("jobs");
  if (!Domains || !Nodes || !Jobs)
    return invalid("the member domains, nodes or jobs is missing");
  for (const SerializationInfo &Row : *Domains)
    if (!readDomain(Row, Status.Domains_.emplace_back()))
      return invalid("a row of domains is malformed");
  for (const SerializationInfo &Row : *Nodes)
    if (!readNode(Row, Status.Nodes_.emplace_back()))
      return invalid("a row of nodes is malformed");
  for (const SerializationInfo &Row : *Jobs) {
    auto Job = readJob(Row);
    if (!Job.ok())
      return Job.status();
    Status.Jobs_.push_back(*std::move(Job));
  }
  return Status;
}

model::DomainCapacity capacityOf(const StatusView &Status) {
  model::DomainCapacity Capacity;
  for (const NodeView &Node : Status.Nodes_)
    if (Node.Kind_ == "worker" && Node.State_ == "alive")
      Capacity[Node.Domain_] += Node.Accelerators_;
  return Capacity;
}

} // namespace nutmegwell::wire
