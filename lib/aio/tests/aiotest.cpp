#include "nutmegwell/aio/httpclient.h"
#include "nutmegwell/aio/httpserver.h"
#include "nutmegwell/aio/link.h"
#include <arpa/inet.h>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <map>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

using namespace nutmegwell;
using namespace nutmegwell::aio;
using namespace std::chrono_literals;

namespace {

const std::string Chunked =
    "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

class AioTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AioTest);
  CPPUNIT_TEST(requestGetsResponse);
  CPPUNIT_TEST(slowSendersDoNotBlockOthers);
  CPPUNIT_TEST(oversizedBodyIsRejected);
  CPPUNIT_TEST(malformedRequestIsRejected);
  CPPUNIT_TEST(trailersCountAgainstTheHeaderLimit);
  CPPUNIT_TEST(extensionsCountAgainstTheHeaderLimit);
  CPPUNIT_TEST(bodyInChunksOfOneByteIsServed);
  CPPUNIT_TEST(paddedChunkHeadersCountAgainstTheHeaderLimit);
  CPPUNIT_TEST(chunkedRequestWithTrailersIsServed);
  CPPUNIT_TEST(requestAtTheLimitsIsServed);
  CPPUNIT_TEST(pipelinedRequestsAreServed);
  CPPUNIT_TEST(refusalArrivesDespiteUnreadInput);
  CPPUNIT_TEST(shortBudgetClosesTheLongestHolder);
  CPPUNIT_TEST(slowRequestIsClosed);
  CPPUNIT_TEST(silentConnectionsMakeRoom);
  CPPUNIT_TEST(serversShareTheirGuard);
  CPPUNIT_TEST(crowdWithinTheLimitsIsServed);
  CPPUNIT_TEST(endlessResponseTrailersAreRefused);
  CPPUNIT_TEST(endlessResponseExtensionsAreRefused);
  CPPUNIT_TEST(silentLinksMakeRoom);
  CPPUNIT_TEST(largeFrameArrives);
  CPPUNIT_TEST(linkIsSilentWhileALargeFrameArrives);
  CPPUNIT_TEST(silentServerTimesOut);
  CPPUNIT_TEST(responseIsCutOffWhileItArrives);
  CPPUNIT_TEST(responseThatStopsHalfwayTimesOut);
  CPPUNIT_TEST(refusedConnectionIsReportedAsNotSent);
  CPPUNIT_TEST(framesArriveInOrder);
  CPPUNIT_TEST(silentLinkIsClosed);
  CPPUNIT_TEST(oversizedFrameClosesTheLink);
  CPPUNIT_TEST(unreadFramesStayWithinTheirTotal);
  CPPUNIT_TEST(destroyedLinksCallNoHandler);
  CPPUNIT_TEST(failedTaskDoesNotEndTheLoop);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<Loop> Loop_;
  std::thread Thread_;
  std::map<InputRefusal, int> Refusals_;

  static net::Address anyPort() { return {"127.0.0.1", 0}; }

  /// Runs \p Task on the loop's thread and waits for its result.
  template <typename Task> auto onLoop(Task Function) {
    std::packaged_task<decltype(Function())()> Packaged(Function);
    auto Result = Packaged.get_future();
    Loop_->post([&Packaged] { Packaged(); });
    return Result.get();
  }

  /// Returns a server whose deleter runs on the loop's thread, as required.
  std::shared_ptr<HttpServer>
  serve(RequestHandler Handler, ServerLimits Limits = {},
        const std::shared_ptr<InputGuard> &Guard = nullptr) {
    HttpServer *Server = onLoop([&] {
      return new HttpServer(*Loop_, anyPort(), Limits, Handler, Guard);
    });
    return {Server, [this](HttpServer *Ended) {
              onLoop([&] {
                delete Ended;
                return 0;
              });
            }};
  }

  static net::HttpRequest get() {
    net::HttpRequest Request;
    Request.Path_ = "/a";
    return Request;
  }

  absl::StatusOr<net::HttpResponse> call(std::uint16_t Port,
                                         net::HttpRequest Request,
                                         core::Duration Timeout = 2s) {
    HttpClient Client(*Loop_, {"127.0.0.1", Port}, 2, 10s);
    std::promise<absl::StatusOr<net::HttpResponse>> Result;
    Client.call(std::move(Request), Timeout,
                [&](auto Response) { Result.set_value(std::move(Response)); });
    return Result.get_future().get();
  }

  static int connectTo(std::uint16_t Port) {
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(0,
                         connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)));
    return Socket;
  }

  static std::string exchange(std::uint16_t Port, const std::string &Bytes) {
    const int Socket = connectTo(Port);
    CPPUNIT_ASSERT(send(Socket, Bytes.data(), Bytes.size(), 0) > 0);
    char Buffer[256] = {};
    const ssize_t Size = recv(Socket, Buffer, sizeof(Buffer), 0);
    close(Socket);
    return std::string(Buffer, Size > 0 ? static_cast<std::size_t>(Size) : 0);
  }

  /// Sends \p Bytes and returns what arrives until the server closes.
  static std::string exchangeAll(std::uint16_t Port, const std::string &Bytes) {
    const int Socket = connectTo(Port);
    sendAll(Socket, Bytes);
    const std::string Result = receiveAll(Socket);
    close(Socket);
    return Result;
  }

  static void sendAll(int Socket, const std::string &Bytes) {
    for (std::size_t Sent = 0; Sent < Bytes.size();) {
      const ssize_t Size =
          send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Size <= 0)
        return;
      Sent += static_cast<std::size_t>(Size);
    }
  }

  static std::string receiveAll(int Socket) {
    const timeval Limit{10, 0};
    setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    std::string Result;
    char Buffer[4096];
    for (ssize_t Size; (Size = recv(Socket, Buffer, sizeof(Buffer), 0)) > 0;)
      Result.append(Buffer, static_cast<std::size_t>(Size));
    return Result;
  }

  static unsigned statusOf(const std::string &Response) {
    constexpr std::size_t Prefix = 9; // "HTTP/1.1 "
    return Response.size() < Prefix + 3
               ? 0
               : static_cast<unsigned>(std::stoul(Response.substr(Prefix, 3)));
  }

  /// Returns a guard whose refusals are counted in Refusals_.
  std::shared_ptr<InputGuard> guardWith(InputLimits Limits) {
    return onLoop([&] {
      return std::make_shared<InputGuard>(
          *Loop_, Limits, [this](InputRefusal Cause, const std::string &) {
            ++Refusals_[Cause];
          });
    });
  }

  int refusals(InputRefusal Cause) {
    return onLoop([&] { return Refusals_[Cause]; });
  }

  /// Answers each connection with \p Head, then sends \p Repeated until the
  /// client closes.
  static std::thread serveEndless(int Listener, std::string Head,
                                  std::string Repeated) {
    return std::thread([=] {
      const int Socket = accept(Listener, nullptr, nullptr);
      char Request[4096];
      if (recv(Socket, Request, sizeof(Request), 0) > 0)
        sendAll(Socket, Head);
      while (send(Socket, Repeated.data(), Repeated.size(), MSG_NOSIGNAL) > 0) {
      }
      close(Socket);
    });
  }

  /// Returns a listening socket and its port.
  static std::pair<int, std::uint16_t> listenRaw() {
    const int Listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    auto *Raw = reinterpret_cast<sockaddr *>(&Address);
    CPPUNIT_ASSERT_EQUAL(0, bind(Listener, Raw, Size));
    CPPUNIT_ASSERT_EQUAL(0, listen(Listener, 1));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(Listener, Raw, &Size));
    return {Listener, ntohs(Address.sin_port)};
  }

  absl::Status callEndless(const std::string &Head,
                           const std::string &Repeated) {
    const auto [Listener, Port] = listenRaw();
    std::thread Server = serveEndless(Listener, Head, Repeated);
    const auto Response = call(Port, get(), 20s);
    Server.join();
    close(Listener);
    return Response.status();
  }

  static void echo(const net::HttpRequest &Request, const Responder &Respond) {
    net::HttpResponse Response;
    Response.Body_ = Request.Method_ + Request.Path_ + Request.Body_;
    Respond(Response);
  }

public:
  void setUp() override {
    Loop_ = std::make_unique<Loop>();
    Thread_ = std::thread([this] { Loop_->run(); });
  }

  void tearDown() override {
    Loop_->stop();
    Thread_.join();
    Loop_.reset();
  }

  void requestGetsResponse() {
    auto Server = serve(echo);
    net::HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/a";
    Request.Body_ = "b";
    CPPUNIT_ASSERT_EQUAL(std::string("POST/ab"),
                         call(Server->port(), Request)->Body_);
  }

  /// Guards against incomplete requests that block other callers. The earlier
  /// server was blocked after 84 of these 300 connections.
  void slowSendersDoNotBlockOthers() {
    auto Server = serve(echo);
    std::vector<int> Sockets;
    for (int I = 0; I < 300; ++I) {
      Sockets.push_back(connectTo(Server->port()));
      CPPUNIT_ASSERT_EQUAL(ssize_t(6), send(Sockets.back(), "GET /a", 6, 0));
    }
    net::HttpRequest Request;
    Request.Path_ = "/b";
    CPPUNIT_ASSERT(call(Server->port(), Request).ok());
    for (int Socket : Sockets)
      close(Socket);
  }

  void oversizedBodyIsRejected() {
    ServerLimits Limits;
    Limits.MaxBody_ = 10;
    auto Server = serve(echo, Limits);
    net::HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/a";
    Request.Body_ = std::string(11, 'x');
    CPPUNIT_ASSERT_EQUAL(413u, call(Server->port(), Request)->Status_);
  }

  void malformedRequestIsRejected() {
    auto Server = serve(echo);
    CPPUNIT_ASSERT(
        exchange(Server->port(), "\x01\x02 nonsense\r\n\r\n").find(" 400 ") !=
        std::string::npos);
  }

  /// Guards against trailers that were stored without limit.
  void trailersCountAgainstTheHeaderLimit() {
    auto Server = serve(echo);
    std::string Bytes = Chunked + "1\r\nx\r\n0\r\n";
    while (Bytes.size() < 40000)
      Bytes += "T: " + std::string(900, 't') + "\r\n";
    CPPUNIT_ASSERT_EQUAL(431u, statusOf(exchangeAll(Server->port(), Bytes)));
  }

  void extensionsCountAgainstTheHeaderLimit() {
    auto Server = serve(echo);
    const std::string Bytes = Chunked + "1;e=" + std::string(40000, 'e');
    CPPUNIT_ASSERT_EQUAL(431u, statusOf(exchangeAll(Server->port(), Bytes)));
  }

  /// Guards against a limit on header bytes that a body within the limits meets
  /// because it comes in small chunks.
  void bodyInChunksOfOneByteIsServed() {
    constexpr int Size = 30000;
    auto Server = serve(echo);
    std::string Bytes = Chunked;
    for (int I = 0; I < Size; ++I)
      Bytes += "1\r\nx\r\n";
    const std::string Response =
        exchangeAll(Server->port(), Bytes + "0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(200u, statusOf(Response));
    CPPUNIT_ASSERT(Response.find(std::string(Size, 'x')) != std::string::npos);
  }

  /// Guards against bodies that cost many times their size to read.
  void paddedChunkHeadersCountAgainstTheHeaderLimit() {
    for (const char *Chunk : {"0000000001\r\nx\r\n", "1;a=b\r\nx\r\n"}) {
      auto Server = serve(echo);
      std::string Bytes = Chunked;
      for (int I = 0; I < 10000; ++I)
        Bytes += Chunk;
      CPPUNIT_ASSERT_EQUAL(431u, statusOf(exchangeAll(Server->port(), Bytes)));
    }
  }

  void chunkedRequestWithTrailersIsServed() {
    auto Server = serve(echo);
    const std::string Response = exchangeAll(
        Server->port(), Chunked + "3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nT: "
                                  "1\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(200u, statusOf(Response));
    CPPUNIT_ASSERT(Response.find("POST/aabcde") != std::string::npos);
  }

  /// Guards against limits that a client within the published ones notices.
  void requestAtTheLimitsIsServed() {
    auto Server = serve(echo);
    const ServerLimits Limits;
    std::string Header = "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                         "Content-Length: 262144\r\nX: ";
    Header += std::string(Limits.MaxHeader_ - Header.size() - 4, 'x');
    Header += "\r\n\r\n";
    const std::string Response =
        exchangeAll(Server->port(), Header + std::string(Limits.MaxBody_, 'b'));
    CPPUNIT_ASSERT_EQUAL(200u, statusOf(Response));
    CPPUNIT_ASSERT(Response.size() > Limits.MaxBody_);
  }

  void pipelinedRequestsAreServed() {
    auto Server = serve(echo);
    const std::string Response = exchangeAll(
        Server->port(), "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
                        "POST /b HTTP/1.1\r\nContent-Length: 3\r\n"
                        "Connection: close\r\n\r\ntwo");
    CPPUNIT_ASSERT(Response.find("POST/aone") != std::string::npos);
    CPPUNIT_ASSERT(Response.find("POST/btwo") != std::string::npos);
  }

  /// Guards against a refusal that is lost, because the kernel resets a
  /// connection that is closed with unread input.
  void refusalArrivesDespiteUnreadInput() {
    auto Server = serve(echo);
    CPPUNIT_ASSERT_EQUAL(
        413u, statusOf(exchangeAll(
                  Server->port(),
                  "POST /a HTTP/1.1\r\nContent-Length: 300000\r\n\r\n" +
                      std::string(300000, 'x'))));
  }

  /// Guards against incomplete bodies that hold memory until their timeout.
  void shortBudgetClosesTheLongestHolder() {
    InputLimits Bounds;
    Bounds.MaxBytes_ = 300000;
    auto Server = serve(echo, {}, guardWith(Bounds));
    const std::string Partial =
        "POST /a HTTP/1.1\r\nContent-Length: 200000\r\n\r\nx";
    const int First = connectTo(Server->port());
    sendAll(First, Partial);
    const int Second = connectTo(Server->port());
    sendAll(Second, Partial);
    CPPUNIT_ASSERT_EQUAL(std::string(), receiveAll(First));
    CPPUNIT_ASSERT_EQUAL(1, refusals(InputRefusal::Budget));
    sendAll(Second, std::string(199999, 'x'));
    char Byte = 0;
    CPPUNIT_ASSERT_EQUAL(ssize_t(1), recv(Second, &Byte, 1, 0));
    close(First);
    close(Second);
  }

  /// Guards against requests that arrive a byte at a time.
  void slowRequestIsClosed() {
    InputLimits Bounds;
    Bounds.RateGrace_ = 50ms;
    Bounds.MinBytesPerSecond_ = 1000000;
    auto Server = serve(echo, {}, guardWith(Bounds));
    const int Socket = connectTo(Server->port());
    sendAll(Socket, "GET /a");
    CPPUNIT_ASSERT_EQUAL(std::string(), receiveAll(Socket));
    CPPUNIT_ASSERT_EQUAL(1, refusals(InputRefusal::Rate));
    close(Socket);
  }

  void silentConnectionsMakeRoom() {
    InputLimits Bounds;
    Bounds.MaxConnections_ = 2;
    auto Server = serve(echo, {}, guardWith(Bounds));
    std::vector<int> Sockets;
    for (int I = 0; I < 4; ++I)
      Sockets.push_back(connectTo(Server->port()));
    CPPUNIT_ASSERT(call(Server->port(), get()).ok());
    CPPUNIT_ASSERT_EQUAL(std::string(), receiveAll(Sockets[0]));
    CPPUNIT_ASSERT_EQUAL(3, refusals(InputRefusal::Connections));
    for (int Socket : Sockets)
      close(Socket);
  }

  /// Guards against a port for each of which the process has its whole budget.
  void serversShareTheirGuard() {
    InputLimits Bounds;
    Bounds.MaxConnections_ = 1;
    const auto Guard = guardWith(Bounds);
    auto First = serve(echo, {}, Guard);
    auto Second = serve(echo, {}, Guard);
    const int Socket = connectTo(First->port());
    CPPUNIT_ASSERT(call(Second->port(), get()).ok());
    CPPUNIT_ASSERT_EQUAL(std::string(), receiveAll(Socket));
    close(Socket);
  }

  /// Guards against limits that clients within the published ones notice: 600
  /// connections, 30 of them with the largest body, that are idle between
  /// two requests each, on the limits of the smallest host.
  void crowdWithinTheLimitsIsServed() {
    constexpr int Count = 600;
    InputLimits Bounds;
    Bounds.MaxBytes_ = 16000000;
    Bounds.MaxConnections_ = 3384;
    auto Server = serve(echo, {}, guardWith(Bounds));
    std::vector<int> Sockets;
    for (int I = 0; I < Count; ++I)
      Sockets.push_back(connectTo(Server->port()));
    for (int Round = 0; Round < 2; ++Round) {
      const auto BodySize = [](int I) { return I % 20 == 0 ? 262144 : 100; };
      std::vector<std::string> Rest;
      for (int I = 0; I < Count; ++I) {
        const std::string Request =
            "POST /a HTTP/1.1\r\nContent-Length: " +
            std::to_string(BodySize(I)) + "\r\n\r\n" +
            std::string(static_cast<std::size_t>(BodySize(I)), 'x');
        const std::size_t Half = Request.size() / 2;
        sendAll(Sockets[I], Request.substr(0, Half));
        Rest.push_back(Request.substr(Half));
      }
      for (int I = 0; I < Count; ++I)
        sendAll(Sockets[I], Rest[I]);
      for (int I = 0; I < Count; ++I) {
        std::string Response;
        char Buffer[16384];
        while (Response.size() < static_cast<std::size_t>(BodySize(I))) {
          const ssize_t Size = recv(Sockets[I], Buffer, sizeof(Buffer), 0);
          CPPUNIT_ASSERT(Size > 0);
          Response.append(Buffer, static_cast<std::size_t>(Size));
        }
        CPPUNIT_ASSERT_EQUAL(200u, statusOf(Response));
        // The rest of the response, up to the end of the echoed body.
        const std::size_t Body = Response.find("\r\n\r\n") + 4;
        const std::size_t Expected = Body + std::string("POST/a").size() +
                                     static_cast<std::size_t>(BodySize(I));
        while (Response.size() < Expected) {
          const ssize_t Size = recv(Sockets[I], Buffer, sizeof(Buffer), 0);
          CPPUNIT_ASSERT(Size > 0);
          Response.append(Buffer, static_cast<std::size_t>(Size));
        }
      }
    }
    onLoop([&] {
      CPPUNIT_ASSERT(Refusals_.empty());
      return 0;
    });
    for (int Socket : Sockets)
      close(Socket);
  }

  /// Guards against a server whose response exhausts the memory of its client.
  void endlessResponseTrailersAreRefused() {
    const absl::Status Result = callEndless(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "T: " + std::string(900, 't') + "\r\n");
    CPPUNIT_ASSERT_EQUAL(absl::StatusCode::kUnavailable, Result.code());
  }

  void endlessResponseExtensionsAreRefused() {
    const absl::Status Result =
        callEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1",
                    ";e=" + std::string(900, 'e'));
    CPPUNIT_ASSERT_EQUAL(absl::StatusCode::kUnavailable, Result.code());
  }

  /// Guards against clients that only connect and keep agents out.
  void silentLinksMakeRoom() {
    LinkLimits Limits;
    Limits.MaxAccepted_ = 2;
    std::promise<std::string> Received;
    LinkHandlers Handlers{
        [](LinkId) {},
        [&](LinkId, const std::string &Frame) { Received.set_value(Frame); },
        [](LinkId) {}};
    auto Listener = onLoop(
        [&] { return std::make_unique<Links>(*Loop_, Limits, Handlers); });
    const std::uint16_t Port =
        onLoop([&] { return Listener->listen(anyPort()); });
    std::vector<int> Sockets;
    for (int I = 0; I < 3; ++I)
      Sockets.push_back(connectTo(Port));
    const int Peer = connectTo(Port);
    sendAll(Peer, std::string("\0\0\0\1x", 5));
    CPPUNIT_ASSERT_EQUAL(std::string("x"), Received.get_future().get());
    CPPUNIT_ASSERT_EQUAL(std::string(), receiveAll(Sockets[0]));
    Sockets.push_back(Peer);
    for (int Socket : Sockets)
      close(Socket);
    onLoop([&] {
      Listener.reset();
      return 0;
    });
  }

  /// Guards against a frame in several parts that arrives incomplete.
  void largeFrameArrives() {
    std::promise<std::string> Received;
    LinkHandlers Handlers{
        [](LinkId) {},
        [&](LinkId, const std::string &Frame) { Received.set_value(Frame); },
        [](LinkId) {}};
    auto Listener = onLoop([&] {
      return std::make_unique<Links>(*Loop_, LinkLimits(), Handlers);
    });
    const std::uint16_t Port =
        onLoop([&] { return Listener->listen(anyPort()); });
    std::string Sent;
    for (int I = 0; I < 1000000; ++I)
      Sent.push_back(static_cast<char>(I * 31 >> 3));
    onLoop([&] {
      Listener->send(Listener->dial({"127.0.0.1", Port}), Sent);
      return 0;
    });
    CPPUNIT_ASSERT(Sent == Received.get_future().get());
    onLoop([&] {
      Listener.reset();
      return 0;
    });
  }

  /// Guards against a link that is closed in the middle of a large frame,
  /// because only whole frames count as a sign of life.
  void linkIsSilentWhileALargeFrameArrives() {
    constexpr std::size_t PartSize = 65536;
    constexpr std::size_t Parts = 6;
    std::promise<std::size_t> Result;
    bool Done = false;
    const auto Finish = [&](std::size_t Received) {
      if (!std::exchange(Done, true))
        Result.set_value(Received);
    };
    LinkLimits Limits;
    Limits.SilenceTimeout_ = 500ms;
    LinkHandlers Handlers{
        [](LinkId) {},
        [&](LinkId, const std::string &Frame) { Finish(Frame.size()); },
        [&](LinkId) { Finish(0); }};
    auto Listener = onLoop(
        [&] { return std::make_unique<Links>(*Loop_, Limits, Handlers); });
    const std::uint16_t Port =
        onLoop([&] { return Listener->listen(anyPort()); });
    const int Socket = connectTo(Port);
    sendAll(Socket, std::string("\0\x06\0\0", 4));
    std::future<std::size_t> Arrived = Result.get_future();
    // The frame takes more than the time of silence, each part less.
    for (std::size_t I = 0; I < Parts; ++I) {
      Arrived.wait_for(Limits.SilenceTimeout_ / 4);
      sendAll(Socket, std::string(PartSize, 'x'));
    }
    CPPUNIT_ASSERT_EQUAL(Parts * PartSize, Arrived.get());
    onLoop([&] {
      Listener.reset();
      return 0;
    });
    close(Socket);
  }

  void silentServerTimesOut() {
    std::vector<Responder> Unanswered;
    auto Server =
        serve([&](const net::HttpRequest &, const Responder &Respond) {
          Unanswered.push_back(Respond);
        });
    const auto Response = call(Server->port(), get(), 100ms);
    CPPUNIT_ASSERT_EQUAL(absl::StatusCode::kDeadlineExceeded,
                         Response.status().code());
    CPPUNIT_ASSERT_EQUAL(std::string("exchange"),
                         core::stepOf(Response.status()));
  }

  /// Calls a server that sends \p Parts of ten parts of a response, one each
  /// quarter of the call's timeout. Returns the response, and counts the calls
  /// of the progress handler.
  absl::StatusOr<net::HttpResponse> callSlowServer(std::size_t Parts,
                                                   std::atomic<int> &Progress) {
    constexpr core::Duration Timeout = 400ms;
    constexpr std::size_t PartSize = 1000;
    const auto [Listener, Port] = listenRaw();
    HttpClient Client(*Loop_, {"127.0.0.1", Port}, 1, 10s);
    std::promise<absl::StatusOr<net::HttpResponse>> Result;
    Client.call(
        get(), Timeout,
        [&](auto Response) { Result.set_value(std::move(Response)); },
        [&] { ++Progress; });
    const int Socket = accept(Listener, nullptr, nullptr);
    sendAll(Socket, "HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n");
    auto Response = Result.get_future();
    for (std::size_t I = 0; I < Parts; ++I) {
      Response.wait_for(Timeout / 4);
      sendAll(Socket, std::string(PartSize, 'x'));
    }
    auto Received = Response.get();
    close(Socket);
    close(Listener);
    return Received;
  }

  /// Guards against large responses that a slow link delivers in vain, time and
  /// again, because the call ends before the last byte.
  void responseIsCutOffWhileItArrives() {
    std::atomic<int> Progress{0};
    const auto Response = callSlowServer(10, Progress);
    CPPUNIT_ASSERT_MESSAGE(Response.status().ToString(), Response.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t(10000), Response->Body_.size());
    CPPUNIT_ASSERT(Progress > 0);
  }

  /// Guards against a call that never ends because its connection has gone
  /// silent after the first bytes.
  void responseThatStopsHalfwayTimesOut() {
    std::atomic<int> Progress{0};
    CPPUNIT_ASSERT_EQUAL(absl::StatusCode::kDeadlineExceeded,
                         callSlowServer(5, Progress).status().code());
  }

  /// Guards against an append that was never sent, but is reported with an
  /// unknown outcome.
  void refusedConnectionIsReportedAsNotSent() {
    const auto Response = call(net::reserveTcpPort(), get());
    CPPUNIT_ASSERT_EQUAL(std::string("connect"),
                         core::stepOf(Response.status()));
    CPPUNIT_ASSERT(absl::IsNotFound(Response.status()));
  }

  void framesArriveInOrder() {
    std::promise<std::string> AllReceived;
    std::string ReceivedBytes;
    LinkHandlers Handlers{[](LinkId) {},
                          [&](LinkId, const std::string &Frame) {
                            ReceivedBytes += Frame;
                            if (Frame == "last")
                              AllReceived.set_value(ReceivedBytes);
                          },
                          [](LinkId) {}};
    auto Listener = onLoop([&] {
      return std::make_unique<Links>(*Loop_, LinkLimits(), Handlers);
    });
    const std::uint16_t Port =
        onLoop([&] { return Listener->listen(anyPort()); });
    onLoop([&] {
      const LinkId Id = Listener->dial({"127.0.0.1", Port});
      for (const char *Frame : {"one", "", "two", "last"})
        Listener->send(Id, Frame);
      return 0;
    });
    CPPUNIT_ASSERT_EQUAL(std::string("onetwolast"),
                         AllReceived.get_future().get());
    onLoop([&] {
      Listener.reset();
      return 0;
    });
  }

  /// Guards against a link that stays open after a device on the path has
  /// dropped the connection.
  void silentLinkIsClosed() {
    std::promise<void> Closed;
    bool Done = false;
    LinkLimits Limits;
    Limits.SilenceTimeout_ = 100ms;
    LinkHandlers Handlers{[](LinkId) {}, [](LinkId, const std::string &) {},
                          [&](LinkId) {
                            if (!Done)
                              Closed.set_value();
                            Done = true;
                          }};
    auto Listener = onLoop(
        [&] { return std::make_unique<Links>(*Loop_, Limits, Handlers); });
    const std::uint16_t Port =
        onLoop([&] { return Listener->listen(anyPort()); });
    const int Socket = connectTo(Port);
    CPPUNIT_ASSERT(Closed.get_future().wait_for(5s) ==
                   std::future_status::ready);
    close(Socket);
    onLoop([&] {
      Listener.reset();
      return 0;
    });
  }

  void oversizedFrameClosesTheLink() {
    LinkHandlers Handlers{[](LinkId) {}, [](LinkId, const std::string &) {},
                          [](LinkId) {}};
    auto Listener = onLoop([&] {
      return std::make_unique<Links>(*Loop_, LinkLimits(), Handlers);
    });
    const std::uint16_t Port =
        onLoop([&] { return Listener->listen(anyPort()); });
    CPPUNIT_ASSERT_EQUAL(std::string(), exchange(Port, "\xff\xff\xff\xff"));
    onLoop([&] {
      Listener.reset();
      return 0;
    });
  }

  /// Guards against peers that do not read: the frames for each of them are
  /// within their limit, those for all together are not.
  void unreadFramesStayWithinTheirTotal() {
    constexpr std::size_t Peers = 4;
    constexpr std::size_t FrameSize = 1000000;
    constexpr int Frames = 10;
    LinkLimits Limits;
    Limits.MaxQueuedTotal_ = 6 * FrameSize;
    std::vector<LinkId> Opened;
    std::promise<void> AllOpen;
    std::size_t Closed = 0;
    LinkHandlers Handlers{[&](LinkId Id) {
                            Opened.push_back(Id);
                            if (Opened.size() == Peers)
                              AllOpen.set_value();
                          },
                          [](LinkId, const std::string &) {},
                          [&](LinkId) { ++Closed; }};
    auto Listener = onLoop(
        [&] { return std::make_unique<Links>(*Loop_, Limits, Handlers); });
    const std::uint16_t Port =
        onLoop([&] { return Listener->listen(anyPort()); });
    std::vector<int> Sockets;
    for (std::size_t I = 0; I < Peers; ++I)
      Sockets.push_back(connectTo(Port));
    AllOpen.get_future().wait();
    // The sockets take a part of the frames; 40 MB are far more than that.
    const std::size_t ClosedLinks = onLoop([&] {
      for (int I = 0; I < Frames; ++I)
        for (LinkId Id : std::vector<LinkId>(Opened))
          Listener->send(Id, std::string(FrameSize, 'x'));
      return Closed;
    });
    CPPUNIT_ASSERT(ClosedLinks > 0);
    for (int Socket : Sockets)
      close(Socket);
    onLoop([&] {
      Listener.reset();
      return 0;
    });
  }

  /// Guards against handlers that are called after their owner was destroyed:
  /// open links used to live on until their silence timeout.
  void destroyedLinksCallNoHandler() {
    std::promise<void> Opened;
    std::promise<void> Ended;
    std::atomic<int> Closed{0};
    LinkLimits Limits;
    Limits.SilenceTimeout_ = 100ms;
    LinkHandlers Handlers{[&](LinkId) { Opened.set_value(); },
                          [](LinkId, const std::string &) {},
                          [&](LinkId) { ++Closed; }};
    auto Listener = onLoop(
        [&] { return std::make_unique<Links>(*Loop_, Limits, Handlers); });
    const std::uint16_t Port =
        onLoop([&] { return Listener->listen(anyPort()); });
    const int Socket = connectTo(Port);
    Opened.get_future().wait();
    onLoop([&] {
      Listener.reset();
      return 0;
    });
    Loop_->after(3 * Limits.SilenceTimeout_, [&] { Ended.set_value(); });
    Ended.get_future().wait();
    close(Socket);
    CPPUNIT_ASSERT_EQUAL(0, Closed.load());
  }

  /// Guards against a process that ends because one handler has thrown.
  void failedTaskDoesNotEndTheLoop() {
    Loop Own;
    int Errors = 0;
    bool Ran = false;
    Own.post([] { throw std::out_of_range("unexpected"); });
    Own.post([&] {
      Ran = true;
      Own.stop();
    });
    Own.run([&](const std::exception &) { ++Errors; });
    CPPUNIT_ASSERT(Ran);
    CPPUNIT_ASSERT_EQUAL(1, Errors);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AioTest);
