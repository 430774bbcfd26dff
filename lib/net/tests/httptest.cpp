#include "nutmegwell/net/http.h"
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <cstring>
#include <cxxtools/ioerror.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <future>
#include <thread>

using namespace nutmegwell;
using namespace std::chrono_literals;

/// Faults, their expected effects and the test cases that inject them:
/// - HTTP connection not made in time: step connect, nothing sent
///   (connectTimeoutIsConnectError)
/// - HTTP server that accepts the connection but does not respond: step
/// exchange,
///   may have run (timeoutAfterConnectIsExchangeError)
class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(handlerReceivesWholeRequest);
  CPPUNIT_TEST(oversizedBodyIsRejected);
  CPPUNIT_TEST(manyLargeBodiesAreRefused);
  CPPUNIT_TEST(refusedConnectionIsConnectError);
  CPPUNIT_TEST(connectTimeoutIsConnectError);
  CPPUNIT_TEST(timeoutAfterConnectIsExchangeError);
  CPPUNIT_TEST(pathCannotAddHeaders);
  CPPUNIT_TEST(unansweredRequestIsSentOnce);
  CPPUNIT_TEST(stopWaitsForRequestInFlight);
  CPPUNIT_TEST_SUITE_END();

  net::Address Address_{"127.0.0.1", net::reserveTcpPort()};

  static net::HttpRequest post(const std::string &Body) {
    net::HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/a/b";
    Request.Query_ = "x=1&y=2";
    Request.Headers_ = {{"X-Client-Account", "acc"}};
    Request.Body_ = Body;
    return Request;
  }

  /// Guards against a request that reaches the handler without its headers,
  /// query or body.
  void handlerReceivesWholeRequest() {
    net::HttpServer Server(
        Address_, net::HttpLimits(), [](const net::HttpRequest &Request) {
          return net::HttpResponse{201, "text/plain",
                                   Request.Method_ + " " + Request.Path_ + " " +
                                       Request.parameter("y") + " " +
                                       Request.header("x-client-account") +
                                       " " + Request.Body_};
        });
    net::HttpClient Client(Address_);
    for (int I = 0; I < 2; ++I) {
      auto Response = Client.call(post("body"), 5s);
      CPPUNIT_ASSERT(Response.ok());
      CPPUNIT_ASSERT_EQUAL(201u, Response->Status_);
      CPPUNIT_ASSERT_EQUAL(std::string("POST /a/b 2 acc body"),
                           Response->Body_);
    }
  }

  /// Guards against a request body that exhausts the memory.
  void oversizedBodyIsRejected() {
    net::HttpLimits Limits;
    Limits.MaxBody_ = 10;
    net::HttpServer Server(Address_, Limits, [](const net::HttpRequest &) {
      return net::HttpResponse();
    });
    net::HttpClient Client(Address_);
    auto Response = Client.call(post(std::string(100000, 'x')), 5s);
    CPPUNIT_ASSERT(Response.ok());
    CPPUNIT_ASSERT_EQUAL(413u, Response->Status_);
  }

  /// Guards against bodies that are each within their limit and together
  /// exhaust the memory, and against bytes that stay counted after their
  /// connection.
  void manyLargeBodiesAreRefused() {
    constexpr std::size_t Size = 10000;
    net::HttpLimits Limits;
    Limits.MaxBodies_ = 2 * Size;
    net::HttpServer Server(Address_, Limits, [](const net::HttpRequest &) {
      return net::HttpResponse();
    });
    net::HttpClient Client(Address_);
    const auto StatusOf = [&](std::size_t BodySize) {
      const auto Response = Client.call(post(std::string(BodySize, 'x')), 5s);
      return Response.ok() ? Response->Status_ : 0;
    };
    // Waits for a status, since the server reads other connections in parallel.
    const auto Becomes = [&](unsigned Status) {
      for (int I = 0; I < 100; ++I) {
        if (StatusOf(Size) == Status)
          return true;
        std::this_thread::sleep_for(50ms);
      }
      return false;
    };
    {
      std::vector<std::unique_ptr<cxxtools::net::TcpSocket>> Connections;
      const std::string Incomplete =
          "POST /a HTTP/1.1\r\nContent-Length: 10001\r\n\r\n" +
          std::string(Size, 'x');
      for (int I = 0; I < 3; ++I) {
        Connections.push_back(std::make_unique<cxxtools::net::TcpSocket>());
        Connections.back()->connect(Address_.Ip_, Address_.Port_);
        Connections.back()->write(Incomplete.data(), Incomplete.size());
      }
      CPPUNIT_ASSERT(Becomes(503));
      CPPUNIT_ASSERT_EQUAL(200u, StatusOf(1000));
    }
    CPPUNIT_ASSERT(Becomes(200));
  }

  /// Guards against reporting that a request may have run when the server
  /// refused the connection.
  void refusedConnectionIsConnectError() {
    net::HttpClient Client(Address_);
    auto Response = Client.call(post(""), 1s);
    CPPUNIT_ASSERT(!Response.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("connect"),
                         core::stepOf(Response.status()));
  }

  /// Guards against reporting that a request may have run when connecting timed
  /// out.
  void connectTimeoutIsConnectError() {
    // The kernel drops connection attempts while the accept queue is full.
    cxxtools::net::TcpServer Server(Address_.Ip_, Address_.Port_, 1);
    std::vector<std::unique_ptr<cxxtools::net::TcpSocket>> Connections;
    for (bool Full = false; !Full;) {
      CPPUNIT_ASSERT(Connections.size() < 16);
      Connections.push_back(std::make_unique<cxxtools::net::TcpSocket>());
      Connections.back()->setTimeout(cxxtools::Milliseconds(200));
      try {
        Connections.back()->connect(Address_.Ip_, Address_.Port_);
      } catch (const cxxtools::IOTimeout &) {
        Full = true;
      }
    }
    auto Response = net::HttpClient(Address_).call(post("body"), 200ms);
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(Response.status()));
    CPPUNIT_ASSERT_EQUAL(std::string("connect"),
                         core::stepOf(Response.status()));
  }

  /// Guards against reporting that a request has not run when any part of it
  /// may have been sent. The server stops responding before, within and after
  /// the response header.
  void timeoutAfterConnectIsExchangeError() {
    cxxtools::net::TcpServer Server(Address_.Ip_, Address_.Port_);
    for (const char *Answer :
         {"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"})
      for (const std::size_t Size : {std::size_t{0}, std::size_t{32} << 20}) {
        auto Response = std::async(std::launch::async, [&] {
          return net::HttpClient(Address_).call(post(std::string(Size, 'x')),
                                                200ms);
        });
        // The server reads no part of the request.
        cxxtools::net::TcpSocket Socket(Server);
        if (*Answer != 0)
          Socket.write(Answer, std::strlen(Answer));
        const absl::Status Failed = Response.get().status();
        CPPUNIT_ASSERT_EQUAL(std::string("exchange"), core::stepOf(Failed));
      }
  }

  /// Guards against header injection through a path, query or header value.
  void pathCannotAddHeaders() {
    net::HttpServer Server(
        Address_, net::HttpLimits(), [](const net::HttpRequest &Request) {
          return net::HttpResponse{200, "text/plain",
                                   Request.Path_ + Request.header("X-Evil")};
        });
    net::HttpClient Client(Address_);
    net::HttpRequest Request = post("");
    Request.Path_ = "/a b?%2F HTTP/1.1\r\nX-Evil: 1\r\n";
    auto Response = Client.call(Request, 5s);
    CPPUNIT_ASSERT(Response.ok());
    CPPUNIT_ASSERT_EQUAL(Request.Path_, Response->Body_);
    for (std::string net::HttpRequest::*Field :
         {&net::HttpRequest::Method_, &net::HttpRequest::Query_}) {
      net::HttpRequest Bad = post("");
      (Bad.*Field) += "x HTTP/1.1\r\nX-Evil: 1";
      Response = Client.call(Bad, 5s);
      CPPUNIT_ASSERT(absl::IsInvalidArgument(Response.status()));
      CPPUNIT_ASSERT_EQUAL(std::string("connect"),
                           core::stepOf(Response.status()));
    }
    Request = post("");
    Request.Headers_ = {{"X-A", "1\r\nX-Evil: 1"}};
    CPPUNIT_ASSERT(absl::IsInvalidArgument(Client.call(Request, 5s).status()));
  }

  /// Guards against a request that runs twice because the client sends it again
  /// after the server closed the connection without a response.
  void unansweredRequestIsSentOnce() {
    cxxtools::net::TcpServer Server(Address_.Ip_, Address_.Port_);
    std::atomic<int> Requests{0};
    std::thread Thread([&] {
      try {
        while (true) {
          cxxtools::net::TcpSocket Socket(Server);
          char Bytes[4096];
          if (Socket.read(Bytes, sizeof(Bytes)) > 0)
            ++Requests;
        }
      } catch (const cxxtools::net::AcceptTerminated &) {
      }
    });
    net::HttpClient Client(Address_);
    auto Response = Client.call(post("body"), 5s);
    Server.terminateAccept();
    Thread.join();
    CPPUNIT_ASSERT(!Response.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("exchange"),
                         core::stepOf(Response.status()));
    CPPUNIT_ASSERT_EQUAL(1, Requests.load());
  }

  /// Guards against a graceful stop that truncates a response.
  void stopWaitsForRequestInFlight() {
    std::promise<void> HandlerEntered, HandlerMayReturn;
    net::HttpServer Server(
        Address_, net::HttpLimits(), [&](const net::HttpRequest &) {
          HandlerEntered.set_value();
          HandlerMayReturn.get_future().wait();
          return net::HttpResponse{200, "text/plain", std::string(500000, 'z')};
        });
    auto Answer = std::async(std::launch::async, [this] {
      return net::HttpClient(Address_).call(post(""), 10s);
    });
    HandlerEntered.get_future().wait();
    auto Stopped = std::async(std::launch::async, [&] { Server.stop(); });
    HandlerMayReturn.set_value();
    auto Response = Answer.get();
    CPPUNIT_ASSERT(Response.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{500000}, Response->Body_.size());
    Stopped.get();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);
