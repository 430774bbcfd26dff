#include "nutmegwell/logclient/httplog.h"

#include "nutmegwell/wire/json.h"
#include <cxxtools/base64codec.h>
#include <limits>
#include <mutex>

namespace nutmegwell::logclient {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusGone = 410;

absl::Status malformed(const std::string &Step, const std::string &Peer,
                       const std::string &Message) {
  return core::makeError(absl::StatusCode::kInternal, Step, Peer, Message);
}

/// Reads the required member \p Name, which must be a non-negative integer.
bool offsetMember(const cxxtools::SerializationInfo &Object,
                  const std::string &Name, core::Offset &Value) {
  std::int64_t Number = -1;
  if (!wire::numberMember(Object, Name, 0,
                          std::numeric_limits<std::int64_t>::max(), Number) ||
      Number < 0)
    return false;
  Value = static_cast<core::Offset>(Number);
  return true;
}

/// HTTP client that sends one request at a time.
struct SerialHttpClient {
  explicit SerialHttpClient(const net::Address &Server) : Client_(Server) {}

  absl::StatusOr<net::HttpResponse> call(const net::HttpRequest &Request,
                                         core::Duration Timeout) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Client_.call(Request, Timeout);
  }

  std::mutex Mutex_;
  net::HttpClient Client_;
};

absl::StatusOr<core::Offset>
parseAppendResponse(const net::HttpResponse &Response,
                    const std::string &Peer) {
  if (Response.Status_ != StatusOk)
    return core::makeError(absl::StatusCode::kUnavailable, "append", Peer,
                           "the log returned HTTP status " +
                               std::to_string(Response.Status_));
  auto Parsed = wire::parseJson(Response.Body_);
  core::Offset At = 0;
  if (!Parsed.ok() || !offsetMember(*Parsed, "offset", At))
    return malformed("append", Peer,
                     "the response needs a non-negative number \"offset\"");
  return At;
}

} // namespace

absl::StatusOr<ReadResult> parseReadResponse(const net::HttpResponse &Response,
                                             core::Offset From, std::size_t Max,
                                             const std::string &Peer) {
  if (Response.Status_ != StatusOk && Response.Status_ != StatusGone)
    return core::makeError(absl::StatusCode::kUnavailable, "read", Peer,
                           "the log returned HTTP status " +
                               std::to_string(Response.Status_));
  auto Parsed = wire::parseJson(Response.Body_);
  ReadResult Result;
  if (!Parsed.ok() || !offsetMember(*Parsed, "first", Result.First_))
    return malformed("read", Peer,
                     "the response needs a non-negative number \"first\"");
  if (Response.Status_ == StatusGone)
    return outOfRange(Result.First_, Peer);
  const auto *Entries = Parsed->findMember("entries");
  if (!Entries || !offsetMember(*Parsed, "next", Result.Next_))
    return malformed("read", Peer,
                     "the response needs \"entries\" and a non-negative "
                     "number \"next\"");
  core::Offset At = From;
  try {
    for (const auto &Entry : *Entries) {
      std::string Text;
      Entry.getValue(Text);
      Result.Entries_.push_back({At++, cxxtools::Base64Codec::decode(Text)});
    }
  } catch (const std::exception &Error) {
    return malformed("read", Peer, Error.what());
  }
  if (Result.Next_ != At)
    return malformed("read", Peer,
                     "\"next\" must be the offset after the last entry");
  Result.AtTail_ = Result.Entries_.size() < Max;
  return Result;
}

LogService httpLogService(const HttpLogSettings &Settings) {
  auto Appends = std::make_shared<SerialHttpClient>(Settings.Server_);
  auto Reads = std::make_shared<SerialHttpClient>(Settings.Server_);
  const std::string Path = "/streams/" + Settings.Stream_;
  const std::string Peer = net::toString(Settings.Server_);
  LogService Service;
  Service.Append_ = [=](std::string Bytes) -> absl::StatusOr<core::Offset> {
    net::HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = Path;
    Request.Body_ = std::move(Bytes);
    auto Response = Appends->call(Request, Settings.Timeout_);
    if (!Response.ok())
      return Response.status();
    return parseAppendResponse(*Response, Peer);
  };
  Service.Read_ = [=](core::Offset From, std::size_t Max,
                      core::Duration Wait) -> absl::StatusOr<ReadResult> {
    net::HttpRequest Request;
    Request.Path_ = Path;
    Request.Query_ =
        "from=" + std::to_string(From) + "&max=" + std::to_string(Max) +
        "&wait_ms=" + std::to_string(core::wholeMilliseconds(Wait).count());
    auto Response = Reads->call(Request, Settings.Timeout_ + Wait);
    if (!Response.ok())
      return Response.status();
    return parseReadResponse(*Response, From, Max, Peer);
  };
  return Service;
}

} // namespace nutmegwell::logclient
