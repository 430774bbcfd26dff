#include "nutmegwell/history/historyfile.h"

#include "eventfields.h"
#include "nutmegwell/wire/json.h"
#include <limits>

namespace nutmegwell::history {

namespace {

/// Adds members to a JSON object.
struct MemberWriter {
  cxxtools::SerializationInfo &Object_;

  template <typename T> void operator()(const char *Name, const T &Value) {
    Object_.addMember(Name) <<= Value;
  }
};

/// Reads members of a JSON object and keeps the name of the first malformed
/// one.
struct MemberReader {
  const cxxtools::SerializationInfo &Object_;
  const char *Malformed_ = nullptr;

  void operator()(const char *Name, std::string &Value) {
    Value = wire::textMember(Object_, Name, Value);
  }
  void operator()(const char *Name, bool &Value) {
    recordResult(Name, wire::boolMember(Object_, Name, Value));
  }
  void operator()(const char *Name, std::uint32_t &Value) {
    readNumber(Name, Value, std::numeric_limits<std::uint32_t>::max());
  }
  void operator()(const char *Name, std::uint64_t &Value) {
    readNumber(Name, Value, std::numeric_limits<std::int64_t>::max());
  }

private:
  template <typename T>
  void readNumber(const char *Name, T &Value, std::int64_t Max) {
    std::int64_t Number = static_cast<std::int64_t>(Value);
    recordResult(Name, wire::numberMember(Object_, Name, 0, Max, Number));
    Value = static_cast<T>(Number);
  }
  void recordResult(const char *Name, bool Ok) {
    if (!Ok && !Malformed_)
      Malformed_ = Name;
  }
};

absl::Status invalid(const std::string &Message) {
  return core::makeError(absl::StatusCode::kInvalidArgument, "parse event", "",
                         Message);
}

/// Sets \p Body to an event of the kind \p Name with default members. Returns
/// false when there is no such kind.
template <std::size_t Index = 0>
bool emplaceBody(const std::string &Name, EventBody &Body) {
  if constexpr (Index < std::variant_size_v<EventBody>) {
    if (Name != EventNames[Index])
      return emplaceBody<Index + 1>(Name, Body);
    Body.emplace<Index>();
    return true;
  } else {
    return false;
  }
}

} // namespace

std::string formatEvent(const Event &Value) {
  cxxtools::SerializationInfo Object;
  Object.addMember("at_us") <<= Value.At_.time_since_epoch().count();
  Object.addMember("process") <<= Value.Process_;
  Object.addMember("event") <<= std::string(EventNames[Value.Body_.index()]);
  EventBody Body = Value.Body_;
  MemberWriter Members{Object};
  std::visit([&Members](auto &Kind) { visitFields(Members, Kind); }, Body);
  return wire::formatJson(Object);
}

absl::StatusOr<Event> parseEvent(const std::string &Line) {
  auto Object = wire::parseJson(Line);
  if (!Object.ok())
    return Object.status();
  Event Value;
  std::int64_t At = -1;
  if (!wire::numberMember(*Object, "at_us", 0,
                          std::numeric_limits<std::int64_t>::max(), At) ||
      At < 0)
    return invalid("at_us is missing or not a non-negative integer");
  Value.At_ = core::TimePoint(core::Duration(At));
  Value.Process_ = wire::textMember(*Object, "process");
  const std::string Name = wire::textMember(*Object, "event");
  if (!emplaceBody(Name, Value.Body_))
    return invalid("unknown event kind " + Name);
  MemberReader Members{*Object};
  std::visit([&Members](auto &Kind) { visitFields(Members, Kind); },
             Value.Body_);
  if (Members.Malformed_)
    return invalid(Name + ": malformed member " + Members.Malformed_);
  return Value;
}

absl::StatusOr<std::vector<Event>> readEvents(std::istream &In) {
  std::vector<Event> Events;
  std::string Line;
  for (std::size_t Number = 1; std::getline(In, Line); ++Number) {
    if (Line.empty())
      continue;
    auto Value = parseEvent(Line);
    if (!Value.ok())
      return invalid("line " + std::to_string(Number) + ": " +
                     std::string(Value.status().message()));
    Events.push_back(std::move(*Value));
  }
  return Events;
}

} // namespace nutmegwell::history
