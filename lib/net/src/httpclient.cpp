#include "nutmegwell/net/http.h"

#include <algorithm>
#include <cstring>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <cxxtools/selector.h>
#include <string_view>

namespace nutmegwell::net {

namespace {

/// Prefix of the cxxtools error message for a failed connect. If a later
/// version changes the message, such errors get the step "exchange", which is
/// safe: the request then counts as possibly processed.
constexpr char ConnectErrorPrefix[] = "while trying to connect";

/// Percent-encodes every byte of \p Path that is not allowed in the path of a
/// request line or would end it, such as '?'. The server decodes it.
std::string escapePath(const std::string &Path) {
  static constexpr char PathCharacters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                           "abcdefghijklmnopqrstuvwxyz"
                                           "0123456789-._~!$&'()*,;=:@/";
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Result;
  for (const char C : Path) {
    if (C != '\0' && std::strchr(PathCharacters, C)) {
      Result.push_back(C);
      continue;
    }
    const auto Byte = static_cast<unsigned char>(C);
    Result += {'%', Digits[Byte >> 4], Digits[Byte & 15]};
  }
  return Result;
}

/// Returns true if \p Text has no control characters that would end a request
/// line or a header. Spaces and tabs are allowed only with \p AllowSpaces, for
/// header values.
bool isPlainText(const std::string &Text, bool AllowSpaces) {
  return std::all_of(Text.begin(), Text.end(), [AllowSpaces](char C) {
    const auto Byte = static_cast<unsigned char>(C);
    return Byte > 0x20 && Byte != 0x7F ? true
                                       : AllowSpaces && (C == ' ' || C == '\t');
  });
}

bool isSendable(const HttpRequest &Request) {
  return !Request.Method_.empty() && isPlainText(Request.Method_, false) &&
         !Request.Path_.empty() && Request.Path_.front() == '/' &&
         isPlainText(Request.Query_, false) &&
         std::all_of(Request.Headers_.begin(), Request.Headers_.end(),
                     [](const auto &Header) {
                       return isPlainText(Header.first, false) &&
                              isPlainText(Header.second, true);
                     });
}

/// Selector that records whether a client has connected. The client adds its
/// socket to its selector after it has connected and before it sends.
class ConnectionTracker : public cxxtools::SelectorBase {
public:
  bool connected() const { return Connected_; }

protected:
  void onAdd(cxxtools::Selectable &) override { Connected_ = true; }
  void onRemove(cxxtools::Selectable &) override {}
  void onReinit(cxxtools::Selectable &) override {}
  void onChanged(cxxtools::Selectable &) override {}
  bool onWaitUntil(cxxtools::Timespan) override { return false; }
  void onWake() override {}

private:
  bool Connected_ = false;
};

/// Sends the request and reads the header of the response. Returns an error
/// with the step "connect" only if both the exception and \p Tracker show that
/// no connection was made.
absl::Status execute(cxxtools::http::Client &Client,
                     const cxxtools::http::Request &Request,
                     core::Duration Timeout, const ConnectionTracker &Tracker,
                     const std::string &Peer) {
  auto Step = [&Tracker](bool Connecting) {
    return Connecting && !Tracker.connected() ? "connect" : "exchange";
  };
  try {
    Client.execute(
        Request,
        cxxtools::Milliseconds(
            std::chrono::duration<double, std::milli>(Timeout).count()));
    return absl::OkStatus();
  } catch (const cxxtools::IOTimeout &) {
    return core::makeError(
        absl::StatusCode::kDeadlineExceeded, Step(true), Peer,
        "timed out while connecting or waiting for the response");
  } catch (const std::exception &Error) {
    return core::makeError(
        absl::StatusCode::kUnavailable,
        Step(std::string_view(Error.what()).rfind(ConnectErrorPrefix, 0) == 0),
        Peer, Error.what());
  }
}

} // namespace

struct HttpClient::Impl {
  explicit Impl(const Address &Server) : Server_(Server) {}

  const Address Server_;
};

HttpClient::HttpClient(const Address &Server)
    : Impl_(std::make_unique<Impl>(Server)) {}

HttpClient::~HttpClient() = default;

absl::StatusOr<HttpResponse> HttpClient::call(const HttpRequest &Request,
                                              core::Duration Timeout) {
  const std::string Peer = toString(Impl_->Server_);
  if (!isSendable(Request))
    return core::makeError(
        absl::StatusCode::kInvalidArgument, "connect", Peer,
        "the request needs a method, a path that starts with \"/\", "
        "and only characters that HTTP allows");
  // A cxxtools client that is already connected sends the request again when
  // the server closes without a response, so each call uses a new connection.
  ConnectionTracker Tracker;
  cxxtools::http::Client Client(Tracker, Impl_->Server_.Ip_,
                                Impl_->Server_.Port_);
  // cxxtools sends separately set query parameters only with GET, so the query
  // is part of the URL.
  std::string Url = escapePath(Request.Path_);
  if (!Request.Query_.empty())
    Url += "?" + Request.Query_;
  cxxtools::http::Request Outgoing(Url);
  Outgoing.method(Request.Method_);
  for (const auto &Header : Request.Headers_)
    Outgoing.setHeader(Header.first.c_str(), Header.second.c_str());
  Outgoing.body() << Request.Body_;
  absl::Status Executed = execute(Client, Outgoing, Timeout, Tracker, Peer);
  if (!Executed.ok())
    return Executed;
  try {
    Client.readBody();
    const auto &Header = Client.header();
    HttpResponse Response;
    Response.Status_ = Header.httpReturnCode();
    const char *ContentType = Header.getHeader("Content-Type");
    Response.ContentType_ = ContentType ? ContentType : "";
    Response.Body_ = Client.body();
    return Response;
  } catch (const cxxtools::IOTimeout &) {
    return core::makeError(absl::StatusCode::kDeadlineExceeded, "exchange",
                           Peer, "timed out while reading the response");
  } catch (const std::exception &Error) {
    return core::makeError(absl::StatusCode::kUnavailable, "exchange", Peer,
                           Error.what());
  }
}

} // namespace nutmegwell::net
