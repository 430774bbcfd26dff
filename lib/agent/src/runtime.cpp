#include "nutmegwell/agent/runtime.h"

#include "nutmegwell/net/http.h"
#include "nutmegwell/wire/json.h"
#include <memory>

namespace nutmegwell::agent {

namespace {

constexpr auto CallTimeout = std::chrono::seconds(2);

using cxxtools::SerializationInfo;

absl::StatusOr<net::HttpResponse> postJson(net::HttpClient &Client,
                                           const std::string &Path,
                                           const SerializationInfo &Body) {
  net::HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = Path;
  Request.Body_ = wire::formatJson(Body);
  return Client.call(Request, CallTimeout);
}

/// Returns the error of a call that failed or that the runtime rejected.
absl::Status statusOf(const absl::StatusOr<net::HttpResponse> &Response,
                      const std::string &Step, const std::string &Peer) {
  if (!Response.ok())
    return Response.status();
  if (Response->Status_ < 300)
    return absl::OkStatus();
  return core::makeError(absl::StatusCode::kFailedPrecondition, Step, Peer,
                         Response->Body_);
}

model::TaskState parseTaskState(const std::string &Text) {
  if (Text == "done")
    return model::TaskState::Done;
  if (Text == "failed")
    return model::TaskState::Failed;
  if (Text == "stopped")
    return model::TaskState::Stopped;
  return model::TaskState::Running;
}

absl::Status startTask(net::HttpClient &Client, const std::string &Peer,
                       const StartTask &Task) {
  SerializationInfo Body;
  Body.addValue("id", Task.Id_);
  Body.addValue("command", Task.Command_);
  Body.addValue("accelerators", Task.Accelerators_);
  Body.addValue("lease_ms", core::wholeMilliseconds(Task.Lease_).count());
  Body.addValue("checkpoint", Task.Checkpoint_);
  return statusOf(postJson(Client, "/tasks", Body), "start", Peer);
}

absl::Status stopTask(net::HttpClient &Client, const std::string &Peer,
                      const StopTask &Task) {
  SerializationInfo Body;
  Body.addValue("grace_ms", core::wholeMilliseconds(Task.Grace_).count());
  return statusOf(postJson(Client, "/tasks/" + Task.Id_ + "/stop", Body),
                  "stop", Peer);
}

absl::StatusOr<std::vector<RuntimeTask>> listTasks(net::HttpClient &Client,
                                                   const std::string &Peer,
                                                   const ListTasks &Call) {
  for (const std::string &Id : Call.Renew_) {
    SerializationInfo Body;
    Body.addValue("lease_ms", core::wholeMilliseconds(Call.Lease_).count());
    // When the renewal fails because the task has ended, the list below shows
    // it.
    postJson(Client, "/tasks/" + Id + "/renew", Body).IgnoreError();
  }
  net::HttpRequest Request;
  Request.Path_ = "/tasks";
  auto Response = Client.call(Request, CallTimeout);
  absl::Status Result = statusOf(Response, "list", Peer);
  if (!Result.ok())
    return Result;
  auto Root = wire::parseJson(Response->Body_);
  if (!Root.ok())
    return Root.status();
  std::vector<RuntimeTask> Tasks;
  const SerializationInfo *Rows = Root->findMember("tasks");
  if (!Rows)
    return core::makeError(absl::StatusCode::kInternal, "list", Peer,
                           "the response has no member 'tasks'");
  for (const SerializationInfo &Row : *Rows)
    Tasks.push_back({wire::textMember(Row, "id"),
                     parseTaskState(wire::textMember(Row, "state")),
                     wire::textMember(Row, "checkpoint")});
  return Tasks;
}

} // namespace

WorkerRuntime httpRuntime(const net::Address &Server) {
  auto Client = std::make_shared<net::HttpClient>(Server);
  const std::string Peer = net::toString(Server);
  return WorkerRuntime{[Client, Peer](const StartTask &Task) {
                         return startTask(*Client, Peer, Task);
                       },
                       [Client, Peer](const StopTask &Task) {
                         return stopTask(*Client, Peer, Task);
                       },
                       [Client, Peer](const ListTasks &Call) {
                         return listTasks(*Client, Peer, Call);
                       }};
}

} // namespace nutmegwell::agent
