#include "nutmegwell/entry/api.h"

#include "nutmegwell/wire/apijson.h"
#include "nutmegwell/wire/tablejson.h"
#include <sstream>

namespace nutmegwell::entry {

namespace {

/// Timeout for appending a record and reading it back.
constexpr auto SubmitTimeout = std::chrono::seconds(6);
constexpr auto MaxWait = std::chrono::seconds(60);

std::vector<std::string> split(const std::string &Path) {
  std::vector<std::string> Parts;
  std::istringstream In(Path);
  for (std::string Part; std::getline(In, Part, '/');)
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

net::HttpResponse jsonResponse(unsigned Status, std::string Body) {
  return {Status, "application/json", std::move(Body)};
}

net::HttpResponse
errorResponse(unsigned Status, const std::string &Code, const std::string &Step,
              const std::string &Message,
              wire::ApiOutcome Outcome = wire::ApiOutcome::NotRun) {
  wire::ApiError Error;
  Error.Code_ = Code;
  Error.Outcome_ = Outcome;
  Error.Step_ = Step;
  Error.Message_ = Message;
  return jsonResponse(Status, wire::formatError(Error));
}

net::HttpResponse notFoundResponse(const std::string &Message) {
  return errorResponse(404, "not_found", "route", Message);
}

net::HttpResponse stoppingResponse() {
  return errorResponse(503, "stopping", "control",
                       "the entry host is stopping");
}

unsigned httpStatusOf(const std::string &Code) {
  if (Code == "invalid_table" || Code == "impossible_job")
    return 422;
  if (Code == "log_unavailable" || Code == "stopping" || Code == "overloaded" ||
      Code == "not_ready")
    return 503;
  return 409;
}

/// Returns the response to a command that was not applied.
net::HttpResponse refusalResponse(const absl::StatusOr<CommandReply> &Reply,
                                  const std::string &Step) {
  if (!Reply.ok()) {
    bool NotRun = Reply.status().code() == absl::StatusCode::kResourceExhausted;
    return errorResponse(
        NotRun ? 503 : 504, NotRun ? "overloaded" : "verdict_unknown", Step,
        std::string(Reply.status().message()),
        NotRun ? wire::ApiOutcome::NotRun : wire::ApiOutcome::Unknown);
  }
  if (Reply->Outcome_ == CommandOutcome::Unknown)
    return errorResponse(504, Reply->Code_, Step, Reply->Reason_,
                         wire::ApiOutcome::Unknown);
  wire::ApiError Error;
  Error.Code_ = Reply->Code_;
  Error.Step_ = Step;
  Error.Message_ = Reply->Reason_;
  Error.ValidationErrors_ = Reply->ValidationErrors_;
  return jsonResponse(httpStatusOf(Reply->Code_), wire::formatError(Error));
}

bool applied(const absl::StatusOr<CommandReply> &Reply) {
  return Reply.ok() && Reply->Outcome_ == CommandOutcome::Applied;
}

bool parseVersion(const net::HttpRequest &Request, core::Version &Value) {
  const std::string Text = Request.parameter("version");
  if (Text.empty() || Text.size() > 18 ||
      Text.find_first_not_of("0123456789") != Text.npos)
    return false;
  Value = std::stoull(Text);
  return true;
}

net::HttpResponse badVersionResponse() {
  return errorResponse(400, "bad_version", "parse",
                       "the parameter version must be the current version");
}

wire::DomainView viewDomain(const EntryState &State,
                            const model::DomainName &Name) {
  wire::DomainView View;
  View.Name_ = Name;
  auto Found = State.ControlState_.Domains_.find(Name);
  if (Found != State.ControlState_.Domains_.end()) {
    View.InService_ = Found->second.InService_;
    View.Version_ = Found->second.Version_;
  }
  auto Cell = State.ControlState_.Cells_.find(Name);
  if (Cell != State.ControlState_.Cells_.end()) {
    View.Holder_ = Cell->second.Holder_;
    View.Term_ = Cell->second.Term_;
  }
  return View;
}

std::set<model::DomainName> knownDomains(const EntryState &State) {
  std::set<model::DomainName> Names;
  for (const auto &[Name, Total] : membership::capacityOf(State.Membership_))
    Names.insert(Name);
  for (const auto &[Name, Domain] : State.ControlState_.Domains_)
    Names.insert(Name);
  return Names;
}

std::string nodeState(const membership::Node &Node, core::TimePoint Now) {
  bool Quarantined = Node.State_ == membership::NodeState::Alive &&
                     membership::schedulabilityOf(Node, Now) ==
                         membership::Schedulability::None;
  return Quarantined ? "quarantined" : toString(Node.State_);
}

wire::StatusView viewStatus(const EntryState &State, core::TimePoint Now) {
  wire::StatusView View;
  View.Node_ = State.Settings_.Node_;
  View.ConfigOffset_ = State.ControlState_.NextOffset_;
  View.LogAvailable_ = State.LogAvailable_;
  for (const auto &Name : knownDomains(State))
    View.Domains_.push_back(viewDomain(State, Name));
  for (const auto &[Name, Node] : State.Membership_.Nodes_)
    View.Nodes_.push_back(
        {Name,
         Node.LastHeartbeat_.Kind_ == model::NodeKind::Worker ? "worker"
                                                              : "upstream",
         nodeState(Node, Now), Node.LastHeartbeat_.Domain_,
         Node.LastHeartbeat_.Rack_, Node.LastHeartbeat_.Accelerators_});
  for (const auto &[Id, Job] : State.ControlState_.Jobs_)
    View.Jobs_.push_back(Job);
  return View;
}

/// Returns the job, with the reason why it waits filled in.
std::optional<model::Job> viewJob(const EntryState &State,
                                  const core::JobId &Id) {
  auto Found = State.ControlState_.Jobs_.find(Id);
  if (Found == State.ControlState_.Jobs_.end())
    return std::nullopt;
  model::Job View = Found->second;
  auto Reason = State.WaitReasons_.find(Id);
  if (View.State_ == model::JobState::Waiting &&
      Reason != State.WaitReasons_.end())
    View.Reason_ = Reason->second;
  return View;
}

} // namespace

bool HttpApi::handlesPath(const std::string &Path) {
  return Path.rfind("/v1/", 0) == 0 || Path == "/v1";
}

net::HttpResponse HttpApi::handle(const net::HttpRequest &Request) {
  std::vector<std::string> Parts = split(Request.Path_);
  if (Parts.size() < 2)
    return notFoundResponse("no such path");
  if (Parts[1] == "jobs")
    return handleJobs(Request, Parts);
  if (Parts[1] == "tables" && Parts.size() == 3)
    return handleTables(Request, Parts);
  if (Parts[1] == "domains" && Parts.size() == 4)
    return handleDomains(Request, Parts);
  if (Parts[1] == "health" && Request.Method_ == "GET")
    return showHealth();
  if (Parts[1] == "status" && Request.Method_ == "GET")
    return showStatus();
  return notFoundResponse("no such path");
}

net::HttpResponse HttpApi::handleJobs(const net::HttpRequest &Request,
                                      const std::vector<std::string> &Parts) {
  if (Parts.size() == 2 && Request.Method_ == "POST")
    return submitJob(Request);
  core::JobId Id;
  if (Parts.size() < 3 || !core::parseId(Parts[2], Id.Writer_, Id.Sequence_))
    return notFoundResponse("no such job");
  if (Parts.size() == 3 && Request.Method_ == "DELETE")
    return cancelJob(Id);
  if (Parts.size() == 3 && Request.Method_ == "GET")
    return showJob(Id);
  if (Parts.size() == 4 && Parts[3] == "wait")
    return waitJob(Request, Id);
  if (Parts.size() == 4 && Parts[3] == "explain")
    return showExplanation(Id);
  return notFoundResponse("no such path");
}

net::HttpResponse HttpApi::submitJob(const net::HttpRequest &Request) {
  model::JobSpec Spec;
  auto Errors = wire::parseJobSpec(Request.Body_, Spec);
  if (!Errors.empty()) {
    wire::ApiError Error;
    Error.Code_ = "invalid_job";
    Error.Step_ = "parse";
    Error.Message_ = "the job is invalid";
    Error.ValidationErrors_ = Errors;
    return jsonResponse(422, wire::formatError(Error));
  }
  core::JobId Id = Control_.newJobId();
  auto Reply = Control_.submit(model::JobSubmitted{Id, Spec}, SubmitTimeout);
  if (!applied(Reply))
    return refusalResponse(Reply, "submit job");
  model::Job Accepted;
  Accepted.Id_ = Id;
  Accepted.Spec_ = Spec;
  return jsonResponse(202, wire::formatJob(Accepted));
}

net::HttpResponse HttpApi::cancelJob(const core::JobId &Id) {
  auto Reply = Control_.submit(model::JobCancelled{Id}, SubmitTimeout);
  return applied(Reply) ? showJob(Id) : refusalResponse(Reply, "cancel job");
}

net::HttpResponse HttpApi::showJob(const core::JobId &Id) {
  std::optional<model::Job> Found;
  if (!Control_.readState(
          [&](const EntryState &State) { Found = viewJob(State, Id); }))
    return stoppingResponse();
  return Found ? jsonResponse(200, wire::formatJob(*Found))
               : notFoundResponse("no such job");
}

net::HttpResponse HttpApi::waitJob(const net::HttpRequest &Request,
                                   const core::JobId &Id) {
  const std::string Text = Request.parameter("timeout_ms");
  if (Text.empty() || Text.size() > 9 ||
      Text.find_first_not_of("0123456789") != Text.npos)
    return errorResponse(400, "bad_timeout", "parse",
                         "the parameter timeout_ms must be a whole number");
  core::Duration Timeout = std::min<core::Duration>(
      std::chrono::milliseconds(std::stoul(Text)), MaxWait);
  Control_.waitUntil(
      [Id](const EntryState &State) {
        auto Found = State.ControlState_.Jobs_.find(Id);
        return Found == State.ControlState_.Jobs_.end() || State.Stopping_ ||
               model::isFinal(Found->second.State_);
      },
      Timeout);
  return showJob(Id);
}

net::HttpResponse HttpApi::showExplanation(const core::JobId &Id) {
  std::string Text;
  if (!Control_.readState([&](const EntryState &State) {
        Text = explainJob(State, Id, core::steadyClock().Now_());
      }))
    return stoppingResponse();
  return jsonResponse(200, wire::formatExplanation(Id, Text));
}

net::HttpResponse HttpApi::handleTables(const net::HttpRequest &Request,
                                        const std::vector<std::string> &Parts) {
  if (Parts[2] != "routes" && Parts[2] != "pools")
    return notFoundResponse("no such table");
  if (Request.Method_ == "GET")
    return showTable(Parts[2]);
  if (Request.Method_ == "PUT")
    return publishTable(Request, Parts[2]);
  return errorResponse(405, "bad_method", "route",
                       "the method must be GET or PUT");
}

net::HttpResponse HttpApi::showTable(const std::string &Name) {
  std::string Body;
  if (!Control_.readState([&](const EntryState &State) {
        Body =
            Name == "routes"
                ? wire::formatRoutesAnswer(State.ControlState_.RoutesVersion_,
                                           State.ControlState_.Routes_)
                : wire::formatPoolsAnswer(State.ControlState_.PoolsVersion_,
                                          State.ControlState_.Pools_);
      }))
    return stoppingResponse();
  return jsonResponse(200, Body);
}

net::HttpResponse HttpApi::publishTable(const net::HttpRequest &Request,
                                        const std::string &Name) {
  core::Version Expected = 0;
  if (!parseVersion(Request, Expected))
    return badVersionResponse();
  model::RecordBody Body;
  std::vector<model::ValidationError> Errors;
  if (Name == "routes") {
    model::RoutesPublished Change{Expected, {}};
    Errors = wire::parseRoutes(Request.Body_, Change.Table_);
    Body = Change;
  } else {
    model::PoolsPublished Change{Expected, {}};
    Errors = wire::parsePools(Request.Body_, Change.Table_);
    Body = Change;
  }
  if (!Errors.empty())
    return jsonResponse(422, wire::formatError(wire::invalidTable(Errors)));
  auto Reply = Control_.submit(Body, SubmitTimeout);
  if (applied(Reply))
    return jsonResponse(200, wire::formatVersion(Expected + 1));
  if (!Reply.ok() || Reply->Code_ != "stale_version")
    return refusalResponse(Reply, "publish " + Name);
  core::Version InForce = 0;
  Control_.readState([&](const EntryState &State) {
    InForce = Name == "routes" ? State.ControlState_.RoutesVersion_
                               : State.ControlState_.PoolsVersion_;
  });
  return jsonResponse(409,
                      wire::formatError(wire::staleVersion(Name, InForce)));
}

net::HttpResponse
HttpApi::handleDomains(const net::HttpRequest &Request,
                       const std::vector<std::string> &Parts) {
  if (Request.Method_ != "POST" || (Parts[3] != "out" && Parts[3] != "in"))
    return notFoundResponse("no such path");
  core::Version Expected = 0;
  if (!parseVersion(Request, Expected))
    return badVersionResponse();
  const model::DomainName &Name = Parts[2];
  bool IsKnown = false;
  Control_.readState([&](const EntryState &State) {
    IsKnown = knownDomains(State).count(Name) > 0;
  });
  if (!IsKnown)
    return notFoundResponse("unknown failure domain " + Name);
  auto Reply = Control_.submit(
      model::DomainChanged{Expected, Name, Parts[3] == "in"}, SubmitTimeout);
  wire::DomainView View;
  Control_.readState(
      [&](const EntryState &State) { View = viewDomain(State, Name); });
  if (applied(Reply))
    return jsonResponse(200, wire::formatDomainChange(View));
  if (Reply.ok() && Reply->Code_ == "stale_version")
    return jsonResponse(
        409, wire::formatError(wire::staleVersion(Name, View.Version_)));
  return refusalResponse(Reply, "change domain");
}

net::HttpResponse HttpApi::showHealth() {
  bool Takes = false;
  if (!Control_.readState([&](const EntryState &State) {
        Takes = !State.Stopping_ && State.ControlState_.NextOffset_ > 0;
      }) ||
      !Takes)
    return errorResponse(
        503, "not_ready", "health",
        "the entry host is stopping or has not read the control state yet");
  return jsonResponse(200, "{}");
}

net::HttpResponse HttpApi::showStatus() {
  wire::StatusView View;
  if (!Control_.readState([&](const EntryState &State) {
        View = viewStatus(State, core::steadyClock().Now_());
      }))
    return stoppingResponse();
  return jsonResponse(200, wire::formatStatus(View));
}

} // namespace nutmegwell::entry
