#include "nutmegwell/wire/apijson.h"

#include "nutmegwell/wire/json.h"
#include "tableinfo.h"

namespace nutmegwell::wire {

namespace {

using cxxtools::SerializationInfo;

absl::Status invalid(const std::string &Message) {
  return core::makeError(absl::StatusCode::kInvalidArgument, "parse answer", "",
                         Message);
}

/// Parses \p Text, which must be a JSON object.
absl::StatusOr<SerializationInfo> parseObject(const std::string &Text) {
  auto Root = parseJson(Text);
  if (Root.ok() && Root->category() != SerializationInfo::Object)
    return invalid("the body is not a JSON object");
  return Root;
}

/// Reads the member \p Name as an unsigned integer. Returns false when it is
/// missing or malformed.
template <typename T>
bool requiredNumber(const SerializationInfo &Object, const char *Name,
                    T &Value) {
  std::int64_t Number = 0;
  if (!Object.findMember(Name) ||
      !numberMember(Object, Name, 0, INT64_MAX, Number))
    return false;
  Value = static_cast<T>(Number);
  return true;
}

/// Returns the member \p Name, or null when it is missing or not an array.
const SerializationInfo *arrayMember(const SerializationInfo &Object,
                                     const char *Name) {
  const SerializationInfo *Rows = Object.findMember(Name);
  return Rows && Rows->category() == SerializationInfo::Array ? Rows : nullptr;
}

SerializationInfo &addArray(SerializationInfo &Object, const char *Name) {
  SerializationInfo &Rows = Object.addMember(Name);
  Rows.setCategory(SerializationInfo::Array);
  return Rows;
}

void addValidationErrors(SerializationInfo &Root,
                         const std::vector<model::ValidationError> &Errors) {
  SerializationInfo &Rows = addArray(Root, "findings");
  for (const model::ValidationError &Error : Errors) {
    SerializationInfo &Out = Rows.addMember();
    Out.addValue("table", Error.Table_);
    Out.addValue("row", Error.Row_);
    Out.addValue("field", Error.Field_);
    Out.addValue("message", Error.Message_);
  }
}

std::vector<model::ValidationError>
readValidationErrors(const SerializationInfo &Root) {
  std::vector<model::ValidationError> Errors;
  if (const SerializationInfo *Rows = arrayMember(Root, "findings"))
    for (const SerializationInfo &Row : *Rows) {
      model::ValidationError Error;
      Error.Table_ = textMember(Row, "table");
      requiredNumber(Row, "row", Error.Row_);
      Error.Field_ = textMember(Row, "field");
      Error.Message_ = textMember(Row, "message");
      Errors.push_back(std::move(Error));
    }
  return Errors;
}

} // namespace

const char *toString(ApiOutcome Value) {
  return Value == ApiOutcome::NotRun ? "not_run" : "unknown";
}

std::string formatError(const ApiError &Error) {
  SerializationInfo Root;
  Root.addValue("code", Error.Code_);
  Root.addValue("outcome", toString(Error.Outcome_));
  Root.addValue("step", Error.Step_);
  Root.addValue("peer", Error.Peer_);
  Root.addValue("message", Error.Message_);
  if (!Error.ValidationErrors_.empty())
    addValidationErrors(Root, Error.ValidationErrors_);
  if (Error.Version_)
    Root.addValue("version", *Error.Version_);
  return formatJson(Root);
}

absl::StatusOr<ApiError> parseError(const std::string &Text) {
  auto Root = parseObject(Text);
  if (!Root.ok())
    return Root.status();
  ApiError Error;
  Error.Code_ = textMember(*Root, "code");
  const std::string Outcome = textMember(*Root, "outcome");
  if (Error.Code_.empty())
    return invalid("the error has no code");
  if (Outcome != "not_run" && Outcome != "unknown")
    return invalid("the outcome of the error is not 'not_run' or 'unknown'");
  Error.Outcome_ =
      Outcome == "not_run" ? ApiOutcome::NotRun : ApiOutcome::Unknown;
  Error.Step_ = textMember(*Root, "step");
  Error.Peer_ = textMember(*Root, "peer");
  Error.Message_ = textMember(*Root, "message");
  Error.ValidationErrors_ = readValidationErrors(*Root);
  core::Version Version = 0;
  if (requiredNumber(*Root, "version", Version))
    Error.Version_ = Version;
  return Error;
}

ApiError invalidTable(std::vector<model::ValidationError> Errors) {
  ApiError Error;
  Error.Code_ = "invalid_table";
  Error.Step_ = "check table";
  Error.Message_ =
      std::to_string(Errors.size()) +
      (Errors.size() == 1 ? " validation error" : " validation errors") +
      ", nothing was published";
  Error.ValidationErrors_ = std::move(Errors);
  return Error;
}

ApiError staleVersion(const std::string &What, core::Version InForce) {
  ApiError Error;
  Error.Code_ = "stale_version";
  Error.Step_ = "check version";
  Error.Message_ = What + " has version " + std::to_string(InForce) +
                   ", but the request expected another one";
  Error.Version_ = InForce;
  return Error;
}

std::string formatExplanation(const core::JobId &Id,
                              const std::string &Explanation) {
  SerializationInfo Root;
  Root.addValue("id", core::toString(Id));
  Root.addValue("explanation", Explanation);
  return formatJson(Root);
}

absl::StatusOr<std::string> parseExplanation(const std::string &Text) {
  auto Root = parseObject(Text);
  if (!Root.ok())
    return Root.status();
  if (!Root->findMember("explanation"))
    return invalid("the member explanation is missing");
  return textMember(*Root, "explanation");
}

std::string formatRoutesAnswer(core::Version Version,
                               const model::RoutesTable &Table) {
  SerializationInfo Root;
  Root.addValue("version", Version);
  addRoutes(Root, Table);
  return formatJson(Root, true);
}

std::string formatPoolsAnswer(core::Version Version,
                              const model::PoolsTable &Table) {
  SerializationInfo Root;
  Root.addValue("version", Version);
  addPools(Root, Table);
  return formatJson(Root, true);
}

std::string formatVersion(core::Version Version) {
  SerializationInfo Root;
  Root.addValue("version", Version);
  return formatJson(Root);
}

absl::StatusOr<core::Version> parseVersion(const std::string &Text) {
  auto Root = parseObject(Text);
  if (!Root.ok())
    return Root.status();
  core::Version Version = 0;
  if (!requiredNumber(*Root, "version", Version))
    return invalid("the member version is missing or malformed");
  return Version;
}

std::string formatDomainChange(const DomainView &Domain) {
  SerializationInfo Root;
  Root.addValue("domain", Domain.Name_);
  Root.addValue("in_service", Domain.InService_);
  Root.addValue("version", Domain.Version_);
  return formatJson(Root);
}

absl::StatusOr<DomainView> parseDomainChange(const std::string &Text) {
  auto Root = parseObject(Text);
  if (!Root.ok())
    return Root.status();
  DomainView Domain;
  Domain.Name_ = textMember(*Root, "domain");
  if (Domain.Name_.empty() || !Root->findMember("in_service") ||
      !boolMember(*Root, "in_service", Domain.InService_) ||
      !requiredNumber(*Root, "version", Domain.Version_))
    return invalid(
        "the member domain, in_service or version is missing or malformed");
  return Domain;
}

} // namespace nutmegwell::wire
