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
/// format function has a parse function that reads what it writes. The parse
/// functions return InvalidArgument, or validation errors, for any other text.
namespace nutmegwell::wire {

enum class ApiOutcome : std::uint8_t { NotRun, Unknown };

/// Returns "not_run" or "unknown".
const char *toString(ApiOutcome Value);

/// Body of an answer with a status of 400 or more.
struct ApiError {
  /// Stable code, such as "stale_version".
  std::string Code_;
  ApiOutcome Outcome_ = ApiOutcome::NotRun;
  std::string Step_;
  std::string Peer_;
  std::string Message_;
  std::vector<model::ValidationError> ValidationErrors_;
  /// Version in force, with the code "stale_version".
  std::optional<core::Version> Version_;
};

std::string formatError(const ApiError &Error);
absl::StatusOr<ApiError> parseError(const std::string &Text);

/// Returns the error of a refused table, with status 422.
ApiError invalidTable(std::vector<model::ValidationError> Errors);
/// Returns the error of a lost race, with status 409.
ApiError staleVersion(const std::string &What, core::Version InForce);

/// Body of POST /v1/jobs. The validation errors name the field; their row is 0.
std::vector<model::ValidationError> parseJobSpec(const std::string &Text,
                                                 model::JobSpec &Spec);
std::string formatJobSpec(const model::JobSpec &Spec);

/// Body of GET /v1/jobs/ID and /wait, and of the answers to a submission and a
/// cancellation. Carries the job without its command and checkpoint.
std::string formatJob(const model::Job &Job);
absl::StatusOr<model::Job> parseJob(const std::string &Text);

/// Body of GET /v1/jobs/ID/explain.
std::string formatExplanation(const core::JobId &Id,
                              const std::string &Explanation);
absl::StatusOr<std::string> parseExplanation(const std::string &Text);

/// Body of GET /v1/tables/routes and /pools. PUT takes the same form and
/// ignores the version in it.
std::string formatRoutesAnswer(core::Version Version,
                               const model::RoutesTable &Table);
std::string formatPoolsAnswer(core::Version Version,
                              const model::PoolsTable &Table);

/// Body of the answer to a publication.
std::string formatVersion(core::Version Version);
/// Reads "version" of a publication's answer and of a table's answer.
absl::StatusOr<core::Version> parseVersion(const std::string &Text);

/// A failure domain as operators see it.
struct DomainView {
  model::DomainName Name_;
  bool InService_ = true;
  core::Version Version_ = 0;
  /// Holder of the cell; empty for none.
  model::NodeName Holder_;
  core::Term Term_ = 0;
};

/// Body of the answer to POST /v1/domains/NAME/out and /in; without the cell.
std::string formatDomainChange(const DomainView &Domain);
absl::StatusOr<DomainView> parseDomainChange(const std::string &Text);

/// A worker or an upstream as its last heartbeat describes it.
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

/// Body of GET /v1/status: what one entry host knows.
struct StatusView {
  model::NodeName Node_;
  core::Offset ConfigOffset_ = 0;
  bool LogAvailable_ = false;
  std::vector<DomainView> Domains_;
  std::vector<NodeView> Nodes_;
  /// Jobs as formatJob gives them.
  std::vector<model::Job> Jobs_;
};

std::string formatStatus(const StatusView &Status);
absl::StatusOr<StatusView> parseStatus(const std::string &Text);

/// Returns the accelerators that the alive workers of each domain have.
model::DomainCapacity capacityOf(const StatusView &Status);

} // namespace nutmegwell::wire
