#include "logstore.h"

#include "nutmegwell/wire/json.h"
#include <algorithm>
#include <cxxtools/base64codec.h>
#include <cxxtools/serializationinfo.h>

namespace nutmegwell::standins {

namespace {

constexpr std::size_t MaxEntry = 64 << 20;
constexpr char Peer[] = "log-standin";

absl::Status failure(const char *Step, const char *Message) {
  return core::makeError(absl::StatusCode::kUnavailable, Step, Peer, Message);
}

std::uint64_t number(const net::HttpRequest &Request, const std::string &Name,
                     std::uint64_t Default) {
  const std::string Text = Request.parameter(Name);
  if (Text.empty() || Text.size() > 18 ||
      Text.find_first_not_of("0123456789") != std::string::npos)
    return Default;
  return std::stoull(Text);
}

net::HttpResponse errorResponse(const absl::Status &Error) {
  if (auto First = logclient::firstRetained(Error))
    return {410, "application/json",
            "{\"first\":" + std::to_string(*First) + "}"};
  return {503, "application/json", "{\"code\":\"unavailable\"}"};
}

net::HttpResponse readResponse(const logclient::ReadResult &Result) {
  cxxtools::SerializationInfo Answer;
  Answer.addMember("first") <<= Result.First_;
  Answer.addMember("next") <<= Result.Next_;
  auto &Entries = Answer.addMember("entries");
  Entries.setCategory(cxxtools::SerializationInfo::Array);
  for (const auto &Entry : Result.Entries_)
    Entries.addMember() <<= cxxtools::Base64Codec::encode(Entry.Bytes_);
  return {200, "application/json", wire::formatJson(Answer)};
}

net::HttpResponse setFaults(LogStore &Store, const net::HttpRequest &Request) {
  LogFaults Faults = Store.faults();
  Faults.Outage_ = number(Request, "outage", Faults.Outage_) != 0;
  if (!Request.parameter("slow_ms").empty())
    Faults.Slow_ = std::chrono::milliseconds(number(Request, "slow_ms", 0));
  Faults.LoseAnswers_ = static_cast<unsigned>(
      number(Request, "lose_answers", Faults.LoseAnswers_));
  Faults.Refuse_ =
      static_cast<unsigned>(number(Request, "refuse", Faults.Refuse_));
  Store.setFaults(Faults);
  return {200, "application/json", "{}"};
}

} // namespace

bool LogStore::delay(std::unique_lock<std::mutex> &Lock) {
  if (Faults_.Slow_ > core::Duration::zero())
    Changed_.wait_for(Lock, Faults_.Slow_, [this] { return Closed_; });
  return !Faults_.Outage_ && !Closed_;
}

absl::StatusOr<core::Offset> LogStore::append(std::string Bytes) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  if (!delay(Lock))
    return failure("append", "outage");
  if (Faults_.Refuse_ > 0) {
    --Faults_.Refuse_;
    return failure("connect", "refused before effect");
  }
  Entries_.push_back(std::move(Bytes));
  const core::Offset At = First_ + Entries_.size() - 1;
  if (Trace_)
    Trace_(At);
  if (Entries_.size() > Retention_) {
    Entries_.pop_front();
    ++First_;
  }
  Changed_.notify_all();
  if (Faults_.LoseAnswers_ > 0) {
    --Faults_.LoseAnswers_;
    return failure("append", "answer lost");
  }
  return At;
}

absl::StatusOr<logclient::ReadResult>
LogStore::read(core::Offset From, std::size_t Max, core::Duration Wait) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  if (!delay(Lock))
    return failure("read", "outage");
  Changed_.wait_for(Lock, Wait, [&] {
    return Closed_ || Faults_.Outage_ || From < First_ + Entries_.size();
  });
  if (Closed_ || Faults_.Outage_)
    return failure("read", "outage");
  if (From < First_)
    return logclient::outOfRange(First_, Peer);
  logclient::ReadResult Result;
  Result.First_ = First_;
  Result.Next_ = From;
  const core::Offset End = First_ + Entries_.size();
  while (Result.Next_ < End && Result.Entries_.size() < Max) {
    Result.Entries_.push_back({Result.Next_, Entries_[Result.Next_ - First_]});
    ++Result.Next_;
  }
  Result.AtTail_ = Result.Entries_.size() < Max;
  return Result;
}

void LogStore::setFaults(const LogFaults &Faults) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Faults_ = Faults;
  }
  Changed_.notify_all();
}

LogFaults LogStore::faults() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Faults_;
}

void LogStore::dropBelow(core::Offset First) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  while (First_ < First && !Entries_.empty()) {
    Entries_.pop_front();
    ++First_;
  }
}

core::Offset LogStore::next() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return First_ + Entries_.size();
}

void LogStore::close() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Closed_ = true;
  }
  Changed_.notify_all();
}

logclient::LogService serviceOf(LogStore &Store) {
  logclient::LogService Service;
  Service.Append_ = [&Store](std::string Bytes) {
    return Store.append(std::move(Bytes));
  };
  Service.Read_ = [&Store](core::Offset From, std::size_t Max,
                           core::Duration Wait) {
    return Store.read(From, Max, Wait);
  };
  return Service;
}

net::HttpResponse handleLog(LogStore &Store, const net::HttpRequest &Request) {
  constexpr std::uint64_t MaxEntries = 10000;
  constexpr std::uint64_t MaxWaitMs = 60000;
  if (Request.Method_ == "POST" && Request.Path_ == "/faults")
    return setFaults(Store, Request);
  if (Request.Path_.compare(0, 9, "/streams/") != 0)
    return {404, "application/json", "{\"code\":\"unknown_path\"}"};
  if (Request.Method_ == "POST") {
    auto At = Store.append(Request.Body_);
    if (!At.ok())
      return errorResponse(At.status());
    return {200, "application/json",
            "{\"offset\":" + std::to_string(*At) + "}"};
  }
  auto Result =
      Store.read(number(Request, "from", 0),
                 std::min(number(Request, "max", MaxEntries), MaxEntries),
                 std::chrono::milliseconds(
                     std::min(number(Request, "wait_ms", 0), MaxWaitMs)));
  return Result.ok() ? readResponse(*Result) : errorResponse(Result.status());
}

net::HttpLimits logServerLimits() {
  net::HttpLimits Limits;
  Limits.MaxBody_ = MaxEntry;
  return Limits;
}

} // namespace nutmegwell::standins
