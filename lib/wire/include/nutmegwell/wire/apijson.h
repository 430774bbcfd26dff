#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/model/job.h"
#include "nutmegwell/model/names.h"
#include "nutmegwell/model/tables.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// JSON bodies of the HTTP API, shared by the daemon and its clients. Each
/// parse function reads the output of the format function of the same name. For
/// any other text it returns InvalidArgument or validation errors.
namespace nutmegwell::wire {

/// What the error says about a request: it definitely did not run, or it may
/// have run.
enum class ApiOutcome : std::uint8_t { NotRun, Unknown };

/// Returns "not_run" or "unknown".
const char *toString(ApiOutcome Value);

/// Body of a response with a status of 400 or more.
struct ApiError {
  /// Error code that stays the same between releases, such as "stale_version".
  std::string Code_;
  ApiOutcome Outcome_ = ApiOutcome::NotRun;
  std::string Step_;
  std::string Peer_;
  std::string Message_;
  std::vector<model::ValidationError> ValidationErrors_;
  /// Version that is in force; set only with the code "stale_version".
  std::optional<core::Version> Version_;
};

std::string formatError(const ApiError &Error);
absl::StatusOr<ApiError> parseError(const std::string &Text);

/// Returns the error for a table that was rejected with \p Errors; its HTTP
/// status is 422.
ApiError invalidTable(std::vector<model::ValidationError> Errors);
/// Returns the error for a publication of \p What that expected another version
/// than \p InForce; its HTTP status is 409.
ApiError staleVersion(const std::string &What, core::Version InForce);

/// Body of POST /v1/jobs. The validation errors contain the field and have the
/// row 0.
std::vector<model::ValidationError> parseJobSpec(const std::string &Text,
                                                 model::JobSpec &Spec);
std::string formatJobSpec(const model::JobSpec &Spec);

/// Response body of GET /v1/jobs/ID and /wait, of a submission and of a
/// cancellation. Contains the job without its command and checkpoint.
std::string formatJob(const model::Job &Job);
absl::StatusOr<model::Job> parseJob(const std::string &Text);

/// Response body of GET /v1/jobs/ID/explain.
std::string formatExplanation(const core::JobId &Id,
                              const std::string &Explanation);
absl::StatusOr<std::string> parseExplanation(const std::string &Text);

/// Response body of GET /v1/tables/routes and /pools. PUT accepts the same
/// format and ignores the version in it.
std::string formatRoutesAnswer(core::Version Version,
                               const model::RoutesTable &Table);
std::string formatPoolsAnswer(core::Version Version,
                              const model::PoolsTable &Table);

/// Response body of the publication of a table.
std::string formatVersion(core::Version Version);
/// Reads the member "version" of the response to a publication or to the GET
/// request of a table.
absl::StatusOr<core::Version> parseVersion(const std::string &Text);

/// State of a failure domain as the API reports it to operators.
struct DomainView {
  model::DomainName Name_;
  bool InService_ = true;
  core::Version Version_ = 0;
  /// Entry host that holds the cell of the domain; empty when none does.
  model::NodeName Holder_;
  core::Term Term_ = 0;
};

/// Response body of POST /v1/domains/NAME/out and /in. Leaves out the holder
/// and the term of the cell.
std::string formatDomainChange(const DomainView &Domain);
absl::StatusOr<DomainView> parseDomainChange(const std::string &Text);

/// State of a worker or an upstream according to its last heartbeat.
struct NodeView {
  model::NodeName Name_;
  /// "worker" or "upstream".
  std::string Kind_;
  /// "alive", "silent", "lapsed", "leaving" or "quarantined".
  std::string State_;
  model::DomainName Domain_;
  model::RackName Rack_;
  std::uint32_t Accelerators_ = 0;
};

/// Response body of GET /v1/status: the state that one entry host knows.
struct StatusView {
  model::NodeName Node_;
  core::Offset ConfigOffset_ = 0;
  bool LogAvailable_ = false;
  std::vector<DomainView> Domains_;
  std::vector<NodeView> Nodes_;
  /// Formatted as by formatJob, so without command and checkpoint.
  std::vector<model::Job> Jobs_;
};

std::string formatStatus(const StatusView &Status);
absl::StatusOr<StatusView> parseStatus(const std::string &Text);

/// Returns the number of accelerators of the alive workers in each domain.
model::DomainCapacity capacityOf(const StatusView &Status);

} // namespace nutmegwell::wire
