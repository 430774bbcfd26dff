#include "commands.h"

#include "nutmegwell/wire/json.h"
#include "output.h"
#include <charconv>

namespace nutmegwell::client {

namespace {

/// Rounds a number of the report to two decimals. Returns other text unchanged.
std::string formatTwoDecimals(const std::string &Text) {
  double Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc())
    return Text;
  char Buffer[64];
  std::snprintf(Buffer, sizeof(Buffer), "%.2f", Value);
  return Buffer;
}

std::string formatErrorCounts(const cxxtools::SerializationInfo &Window) {
  return wire::textMember(Window, "refused") + "/" +
         wire::textMember(Window, "unknown") + "/" +
         wire::textMember(Window, "slow");
}

absl::StatusOr<std::string> formatBurnText(const std::string &Body) {
  auto Root = wire::parseJson(Body);
  if (!Root.ok())
    return Root.status();
  const auto *Rows = Root->findMember("rows");
  if (!Rows)
    return core::makeError(absl::StatusCode::kInvalidArgument, "parse report",
                           "", "member 'rows' is missing");
  std::vector<TextRow> Text = {{"ACCOUNT", "SERVICE", "BURN SHORT", "BURN LONG",
                                "REQUESTS", "REFUSED/UNKNOWN/SLOW", "ALERT"}};
  for (const auto &Row : *Rows) {
    const auto *Short = Row.findMember("short");
    const auto *Long = Row.findMember("long");
    if (!Short || !Long)
      return core::makeError(absl::StatusCode::kInvalidArgument, "parse report",
                             "", "a row lacks the member 'short' or 'long'");
    Text.push_back(
        {wire::textMember(Row, "account"), wire::textMember(Row, "service"),
         formatTwoDecimals(wire::textMember(*Short, "burn")),
         formatTwoDecimals(wire::textMember(*Long, "burn")),
         wire::textMember(*Long, "requests"), formatErrorCounts(*Long),
         wire::textMember(Row, "alert") == "true" ? "yes" : "no"});
  }
  return formatColumns(Text);
}

int runBurn(const Invocation &Call) {
  const ExchangeResult Result = callApi(Call, "GET", "/v1/burn");
  if (Result.Outcome_ != Outcome::Answered)
    return printError(Call, Result.Error_);
  auto Text = formatBurnText(Result.Response_.Body_);
  if (!Text.ok())
    return printMalformedResponse(Call, Text.status());
  printResponse(Call, Result, *Text);
  return Success;
}

} // namespace

Command burnCommand() {
  return {"report burn",
          commandSettings("report burn",
                          "Shows the burn rate of each client account's error "
                          "budget. At a burn rate of 1 the budget\nis used up "
                          "exactly at the end of its period. Counts are those "
                          "of the long window.")
              .build(),
          runBurn};
}

} // namespace nutmegwell::client
