#include "commands.h"

#include "nutmegwell/wire/json.h"
#include "output.h"
#include <charconv>

namespace nutmegwell::client {

namespace {

/// Returns a number of the report with two decimals, or the text as it is.
std::string twoDecimals(const std::string &Text) {
  double Value = 0;
  auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Read.ec != std::errc())
    return Text;
  char Buffer[64];
  std::snprintf(Buffer, sizeof(Buffer), "%.2f", Value);
  return Buffer;
}

std::string errorsOf(const cxxtools::SerializationInfo &Window) {
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
                           "", "no rows");
  std::vector<TextRow> Text = {{"ACCOUNT", "SERVICE", "BURN SHORT", "BURN LONG",
                                "REQUESTS", "REFUSED/UNKNOWN/SLOW", "ALERT"}};
  for (const auto &Row : *Rows) {
    const auto *Short = Row.findMember("short");
    const auto *Long = Row.findMember("long");
    if (!Short || !Long)
      return core::makeError(absl::StatusCode::kInvalidArgument, "parse report",
                             "", "a row without windows");
    Text.push_back({wire::textMember(Row, "account"),
                    wire::textMember(Row, "service"),
                    twoDecimals(wire::textMember(*Short, "burn")),
                    twoDecimals(wire::textMember(*Long, "burn")),
                    wire::textMember(*Long, "requests"), errorsOf(*Long),
                    wire::textMember(Row, "alert") == "true" ? "yes" : "no"});
  }
  return formatColumns(Text);
}

int runBurn(const Invocation &Call) {
  const Reply Result = callApi(Call, "GET", "/v1/burn");
  if (Result.Outcome_ != Outcome::Answered)
    return printError(Call, Result.Error_);
  auto Text = formatBurnText(Result.Response_.Body_);
  if (!Text.ok())
    return printWrongAnswer(Call, Text.status());
  printAnswer(Call, Result, *Text);
  return Done;
}

} // namespace

Command burnCommand() {
  return {"report burn",
          commandSettings("report burn",
                          "Shows how fast each client account's error budget "
                          "is used. At 1 it is used up exactly when\nits "
                          "period ends. Counts are those of the long window.")
              .build(),
          runBurn};
}

} // namespace nutmegwell::client
