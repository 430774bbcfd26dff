#include "nutmegwell/net/frame.h"
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <future>

using namespace nutmegwell;
using namespace std::chrono_literals;

/// Faults, their expected effects and the test cases that inject them:
/// - frame above the size limit: connection closed, counted
///   (oversizedFrameIsRejected)
/// - sender stops within a frame: connection closed, counted
///   (slowSenderIsDisconnected)
/// - server that speaks another protocol: step connect, nothing sent
///   (otherProtocolIsRejected)
/// - more connections than allowed: step connect, nothing sent
///   (connectionsAreBounded)
/// - peer that stops sending: DeadlineExceeded after the wait
///   (receiveTimeoutIsReported)
/// - frame sent while the server stops: still answered
///   (frameSentBeforeClosingNoticeIsAnswered)
/// - stop while a frame is handled: the response still arrives
///   (stopFinishesFrameInProgress)
class FrameTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameTest);
  CPPUNIT_TEST(framesAreReceivedUnchanged);
  CPPUNIT_TEST(oversizedFrameIsRejected);
  CPPUNIT_TEST(slowSenderIsDisconnected);
  CPPUNIT_TEST(otherProtocolIsRejected);
  CPPUNIT_TEST(connectionsAreBounded);
  CPPUNIT_TEST(receiveTimeoutIsReported);
  CPPUNIT_TEST(frameSentBeforeClosingNoticeIsAnswered);
  CPPUNIT_TEST(stopFinishesFrameInProgress);
  CPPUNIT_TEST_SUITE_END();

  net::Address Address_{"127.0.0.1", net::reserveTcpPort()};
  net::FrameLimits Limits_;

  static bool echo(net::FrameConnection &Connection, std::string Frame) {
    return Connection.send(Frame).ok();
  }

  std::unique_ptr<net::FrameConnection> connectToServer() {
    auto Connection = net::FrameConnection::connect(Address_, Limits_, 5s);
    CPPUNIT_ASSERT(Connection.ok());
    return std::move(*Connection);
  }

  /// Sends \p Bytes over a plain socket, since FrameConnection sends no
  /// malformed frames, and checks that the server closes the connection.
  void sendRawBytes(std::string_view Bytes) {
    cxxtools::net::TcpSocket Socket(Address_.Ip_, Address_.Port_);
    Socket.setTimeout(cxxtools::Milliseconds(5000));
    char Greeting[4];
    Socket.read(Greeting, sizeof(Greeting));
    Socket.write(Bytes.data(), Bytes.size());
    char Rest;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Socket.read(&Rest, 1));
  }

  /// Guards against frames that are truncated or merged.
  void framesAreReceivedUnchanged() {
    net::FrameServer Server(Address_, Limits_, echo);
    auto Connection = connectToServer();
    for (std::size_t Size : {0, 1, 70000, 3 << 20}) {
      const std::string Sent(Size, 'x');
      CPPUNIT_ASSERT(Connection->send(Sent).ok());
      auto Received = Connection->receive(5s);
      CPPUNIT_ASSERT(Received.ok() && *Received == Sent);
    }
    CPPUNIT_ASSERT(Connection->quiet());
  }

  /// Guards against a length prefix that makes the server allocate too much
  /// memory.
  void oversizedFrameIsRejected() {
    net::FrameServer Server(Address_, Limits_, echo);
    sendRawBytes("\xff\xff\xff\xff");
    Server.stop();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Server.counts().InvalidFrames_);
    Limits_.MaxFrame_ = 4;
    net::FrameServer Small(Address_, Limits_, echo);
    CPPUNIT_ASSERT(absl::IsInvalidArgument(connectToServer()->send("12345")));
  }

  /// Guards against a sender that stops within a frame and occupies a thread
  /// forever.
  void slowSenderIsDisconnected() {
    Limits_.ReadTimeout_ = 50ms;
    net::FrameServer Server(Address_, Limits_, echo);
    sendRawBytes(std::string_view("\x08\0\0\0abc", 7));
    Server.stop();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Server.counts().InvalidFrames_);
  }

  /// Guards against a request that is sent to a process other than an agent.
  void otherProtocolIsRejected() {
    cxxtools::net::TcpServer Server(Address_.Ip_, Address_.Port_);
    auto Connection = net::FrameConnection::connect(Address_, Limits_, 50ms);
    CPPUNIT_ASSERT_EQUAL(std::string("connect"),
                         core::stepOf(Connection.status()));
  }

  /// Guards against an unlimited number of connections, and against reporting
  /// that a request may have run when the server refused the connection.
  void connectionsAreBounded() {
    Limits_.MaxConnections_ = 2;
    net::FrameServer Server(Address_, Limits_, echo);
    auto First = connectToServer();
    auto Second = connectToServer();
    auto Third = net::FrameConnection::connect(Address_, Limits_, 5s);
    CPPUNIT_ASSERT_EQUAL(std::string("connect"), core::stepOf(Third.status()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Server.counts().Refused_);
    CPPUNIT_ASSERT(First->send("a").ok() && First->receive(5s).ok());
  }

  /// Guards against waiting forever for a peer that sends nothing.
  void receiveTimeoutIsReported() {
    net::FrameServer Server(
        Address_, Limits_,
        [](net::FrameConnection &, const std::string &) { return true; });
    auto Connection = connectToServer();
    CPPUNIT_ASSERT(Connection->send("a").ok());
    auto Received = Connection->receive(20ms);
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(Received.status()));
  }

  /// Guards against a request that is lost because the client sent it before it
  /// read the closing notice of a stopping server.
  void frameSentBeforeClosingNoticeIsAnswered() {
    Limits_.CloseGrace_ = 10s;
    std::promise<void> Stopping;
    net::FrameServer Server(Address_, Limits_, echo,
                            [&] { Stopping.set_value(); });
    auto Connection = connectToServer();
    CPPUNIT_ASSERT(Connection->send("a").ok() && Connection->receive(5s).ok());
    auto Stopped = std::async(std::launch::async, [&] { Server.stop(); });
    Stopping.get_future().wait();
    CPPUNIT_ASSERT(!net::FrameConnection::connect(Address_, Limits_, 5s).ok());
    CPPUNIT_ASSERT(Connection->send("crossed").ok());
    auto Received = Connection->receive(5s);
    CPPUNIT_ASSERT(Received.ok() && *Received == "crossed");
    CPPUNIT_ASSERT(!Connection->quiet());
    Connection.reset();
    Stopped.get();
  }

  /// Guards against a stop that truncates a response, and against a stop that
  /// waits for idle connections.
  void stopFinishesFrameInProgress() {
    std::promise<void> HandlerEntered, HandlerMayReturn;
    net::FrameServer Server(
        Address_, Limits_,
        [&](net::FrameConnection &Connection, const std::string &) {
          HandlerEntered.set_value();
          HandlerMayReturn.get_future().wait();
          return Connection.send(std::string(1 << 20, 'z')).ok();
        });
    auto Idle = connectToServer();
    auto Busy = connectToServer();
    CPPUNIT_ASSERT(Busy->send("a").ok());
    HandlerEntered.get_future().wait();
    auto Stopped = std::async(std::launch::async, [&] { Server.stop(); });
    CPPUNIT_ASSERT(absl::IsUnavailable(Idle->receive(5s).status()));
    CPPUNIT_ASSERT(!Idle->quiet());
    HandlerMayReturn.set_value();
    auto Received = Busy->receive(5s);
    CPPUNIT_ASSERT(Received.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1 << 20}, Received->size());
    Stopped.get();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameTest);
