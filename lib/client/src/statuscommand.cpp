#include "commands.h"

#include "jobs.h"

namespace nutmegwell::client {

namespace {

std::string formatStatusText(const wire::StatusView &Status) {
  std::string Text = "entry host " + Status.Node_ + ", configuration offset " +
                     std::to_string(Status.ConfigOffset_) + ", log " +
                     (Status.LogAvailable_ ? "available" : "unavailable") +
                     "\n\n";
  std::vector<TextRow> Domains = {
      {"DOMAIN", "SERVICE", "VERSION", "HOLDER", "TERM"}};
  for (const wire::DomainView &Domain : Status.Domains_)
    Domains.push_back({Domain.Name_, Domain.InService_ ? "in" : "out",
                       std::to_string(Domain.Version_), Domain.Holder_,
                       std::to_string(Domain.Term_)});
  std::vector<TextRow> Nodes = {
      {"NODE", "KIND", "STATE", "DOMAIN", "RACK", "ACCELERATORS"}};
  for (const wire::NodeView &Node : Status.Nodes_)
    Nodes.push_back({Node.Name_, Node.Kind_, Node.State_, Node.Domain_,
                     Node.Rack_, std::to_string(Node.Accelerators_)});
  std::vector<TextRow> Jobs = {
      {"JOB", "STATE", "ACCOUNT", "SHAPE", "DOMAIN", "REASON"}};
  for (const model::Job &Job : Status.Jobs_)
    Jobs.push_back({core::toString(Job.Id_), model::toString(Job.State_),
                    Job.Spec_.Account_,
                    std::to_string(Job.Spec_.TaskCount_) + "x" +
                        std::to_string(Job.Spec_.AcceleratorsPerTask_) + " " +
                        model::toString(Job.Spec_.Level_),
                    Job.Domain_, Job.Reason_});
  return Text + formatColumns(Domains) + "\n" + formatColumns(Nodes) + "\n" +
         formatColumns(Jobs);
}

int runJobStatus(const Invocation &Call) {
  const std::string Path = jobPath(Call);
  if (Path.empty())
    return printInvalidJobId(Call);
  return printJob(Call, callApi(Call, "GET", Path), Success);
}

int runStatus(const Invocation &Call) {
  if (!Call.Settings_.arguments().empty())
    return runJobStatus(Call);
  const ExchangeResult Result = callApi(Call, "GET", "/v1/status");
  if (Result.Outcome_ != Outcome::Answered)
    return printError(Call, Result.Error_);
  auto Status = wire::parseStatus(Result.Response_.Body_);
  if (!Status.ok())
    return printMalformedResponse(Call, Status.status());
  printResponse(Call, Result, formatStatusText(*Status));
  return Success;
}

} // namespace

Command statusCommand() {
  auto Builder = commandSettings(
      "status", "Shows the failure domains, nodes and jobs as one entry host "
                "sees them, or a single job.");
  Builder.arguments(0, 1, "[JOB]");
  return {"status", Builder.build(), runStatus};
}

} // namespace nutmegwell::client
