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

/// Start of the message of cxxtools when no connection was made. A version with
/// another text makes such failures "exchange", which claims less.
constexpr char ConnectFailure[] = "while trying to connect";

/// Returns \p Path with every byte escaped that has a meaning in a request line
/// or is not allowed there; the server undoes it.
std::string escapePath(const std::string &Path) {
  static constexpr char Plain[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                  "abcdefghijklmnopqrstuvwxyz"
                                  "0123456789-._~!$&'()*,;=:@/";
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Result;
  for (const char C : Path) {
    if (C != '\0' && std::strchr(Plain, C)) {
      Result.push_back(C);
      continue;
    }
    const auto Byte = static_cast<unsigned char>(C);
    Result += {'%', Digits[Byte >> 4], Digits[Byte & 15]};
  }
  return Result;
}

/// Returns true when \p Text can stand in a request line or, with \p Spaces, in
/// a header: it has no byte that would end either.
bool isPlainText(const std::string &Text, bool Spaces) {
  return std::all_of(Text.begin(), Text.end(), [Spaces](char C) {
    const auto Byte = static_cast<unsigned char>(C);
    return Byte > 0x20 && Byte != 0x7F ? true
                                       : Spaces && (C == ' ' || C == '\t');
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

/// Notes whether the connection of a client was made. The client adds its
/// socket to its selector once it is connected and before it sends.
class ConnectionWatch : public cxxtools::SelectorBase {
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

/// Sends the request and reads the head of the answer. Returns an error of the
/// step "connect" only when both the kind of failure and \p Watch say that no
/// connection was made.
absl::Status execute(cxxtools::http::Client &Client,
                     const cxxtools::http::Request &Request,
                     core::Duration Timeout, const ConnectionWatch &Watch,
                     const std::string &Peer) {
  auto Step = [&Watch](bool Connecting) {
    return Connecting && !Watch.connected() ? "connect" : "exchange";
  };
  try {
    Client.execute(
        Request,
        cxxtools::Milliseconds(
            std::chrono::duration<double, std::milli>(Timeout).count()));
    return absl::OkStatus();
  } catch (const cxxtools::IOTimeout &) {
    return core::makeError(absl::StatusCode::kDeadlineExceeded, Step(true),
                           Peer, "no connection or answer in time");
  } catch (const std::exception &Error) {
    return core::makeError(
        absl::StatusCode::kUnavailable,
        Step(std::string_view(Error.what()).rfind(ConnectFailure, 0) == 0),
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
    return core::makeError(absl::StatusCode::kInvalidArgument, "connect", Peer,
                           "the request has bytes that HTTP cannot carry");
  // A connected cxxtools client sends the request a second time when the
  // server closes without an answer, so each call has a connection of its own.
  ConnectionWatch Watch;
  cxxtools::http::Client Client(Watch, Impl_->Server_.Ip_,
                                Impl_->Server_.Port_);
  // The client sends its own query parameters only with GET.
  std::string Url = escapePath(Request.Path_);
  if (!Request.Query_.empty())
    Url += "?" + Request.Query_;
  cxxtools::http::Request Out(Url);
  Out.method(Request.Method_);
  for (const auto &Header : Request.Headers_)
    Out.setHeader(Header.first.c_str(), Header.second.c_str());
  Out.body() << Request.Body_;
  absl::Status Executed = execute(Client, Out, Timeout, Watch, Peer);
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
                           Peer, "no answer in time");
  } catch (const std::exception &Error) {
    return core::makeError(absl::StatusCode::kUnavailable, "exchange", Peer,
                           Error.what());
  }
}

} // namespace nutmegwell::net
