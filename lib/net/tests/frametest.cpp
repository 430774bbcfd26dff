#include "nutmegwell/net/frame.h"
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <future>

using namespace nutmegwell;
using namespace std::chrono_literals;

/// Faults, their expected effects and the cases that produce them:
/// - frame above the bound: connection closed, counted
///   (oversizedFrameIsRefused)
/// - sender stops within a frame: connection closed, counted
///   (slowSenderIsCutOff)
/// - server that speaks another protocol: step connect, nothing sent
///   (foreignServerIsRefused)
/// - more connections than the bound: step connect, nothing sent
///   (connectionsAreBounded)
/// - connection that goes silent: DeadlineExceeded after the wait
///   (silenceIsReported)
/// - frame sent as the server stops: still answered
///   (frameThatCrossesTheCloseIsAnswered)
/// - stop while a frame is handled: the answer still arrives
///   (stopFinishesFrameInProgress)
class FrameTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameTest);
  CPPUNIT_TEST(framesArriveWhole);
  CPPUNIT_TEST(oversizedFrameIsRefused);
  CPPUNIT_TEST(slowSenderIsCutOff);
  CPPUNIT_TEST(foreignServerIsRefused);
  CPPUNIT_TEST(connectionsAreBounded);
  CPPUNIT_TEST(silenceIsReported);
  CPPUNIT_TEST(frameThatCrossesTheCloseIsAnswered);
  CPPUNIT_TEST(stopFinishesFrameInProgress);
  CPPUNIT_TEST_SUITE_END();

  net::Address Address_{"127.0.0.1", net::reserveTcpPort()};
  net::FrameLimits Limits_;

  static bool echo(net::FrameConnection &Connection, std::string Frame) {
    return Connection.send(Frame).ok();
  }

  std::unique_ptr<net::FrameConnection> connected() {
    auto Made = net::FrameConnection::connect(Address_, Limits_, 5s);
    CPPUNIT_ASSERT(Made.ok());
    return std::move(*Made);
  }

  /// Connects without the library, to send what it never sends.
  void rawExchange(std::string_view Bytes) {
    cxxtools::net::TcpSocket Socket(Address_.Ip_, Address_.Port_);
    Socket.setTimeout(cxxtools::Milliseconds(5000));
    char Greeting[4];
    Socket.read(Greeting, sizeof(Greeting));
    Socket.write(Bytes.data(), Bytes.size());
    char Rest;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Socket.read(&Rest, 1));
  }

  /// Guards against frames that are cut or joined.
  void framesArriveWhole() {
    net::FrameServer Server(Address_, Limits_, echo);
    auto Connection = connected();
    for (std::size_t Size : {0, 1, 70000, 3 << 20}) {
      const std::string Sent(Size, 'x');
      CPPUNIT_ASSERT(Connection->send(Sent).ok());
      auto Received = Connection->receive(5s);
      CPPUNIT_ASSERT(Received.ok() && *Received == Sent);
    }
    CPPUNIT_ASSERT(Connection->quiet());
  }

  /// Guards against a length that fills the memory.
  void oversizedFrameIsRefused() {
    net::FrameServer Server(Address_, Limits_, echo);
    rawExchange("\xff\xff\xff\xff");
    Server.stop();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Server.counts().Broken_);
    Limits_.MaxFrame_ = 4;
    net::FrameServer Small(Address_, Limits_, echo);
    CPPUNIT_ASSERT(absl::IsInvalidArgument(connected()->send("12345")));
  }

  /// Guards against a sender that holds a thread for good.
  void slowSenderIsCutOff() {
    Limits_.ReadTimeout_ = 50ms;
    net::FrameServer Server(Address_, Limits_, echo);
    rawExchange(std::string_view("\x08\0\0\0abc", 7));
    Server.stop();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Server.counts().Broken_);
  }

  /// Guards against a request sent to a process that is no agent.
  void foreignServerIsRefused() {
    cxxtools::net::TcpServer Server(Address_.Ip_, Address_.Port_);
    auto Made = net::FrameConnection::connect(Address_, Limits_, 50ms);
    CPPUNIT_ASSERT_EQUAL(std::string("connect"), core::stepOf(Made.status()));
  }

  /// Guards against connections without bound, and against "may have run" for
  /// a connection that the server did not take.
  void connectionsAreBounded() {
    Limits_.MaxConnections_ = 2;
    net::FrameServer Server(Address_, Limits_, echo);
    auto First = connected();
    auto Second = connected();
    auto Third = net::FrameConnection::connect(Address_, Limits_, 5s);
    CPPUNIT_ASSERT_EQUAL(std::string("connect"), core::stepOf(Third.status()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Server.counts().Refused_);
    CPPUNIT_ASSERT(First->send("a").ok() && First->receive(5s).ok());
  }

  /// Guards against a wait without end on a connection that went silent.
  void silenceIsReported() {
    net::FrameServer Server(
        Address_, Limits_,
        [](net::FrameConnection &, const std::string &) { return true; });
    auto Connection = connected();
    CPPUNIT_ASSERT(Connection->send("a").ok());
    auto Received = Connection->receive(20ms);
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(Received.status()));
  }

  /// Guards against a request that is lost because it was sent while the server
  /// closed its idle connections.
  void frameThatCrossesTheCloseIsAnswered() {
    Limits_.CloseGrace_ = 10s;
    std::promise<void> Stopping;
    net::FrameServer Server(Address_, Limits_, echo,
                            [&] { Stopping.set_value(); });
    auto Connection = connected();
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

  /// Guards against a stop that cuts an answer, and one that waits for idle
  /// connections.
  void stopFinishesFrameInProgress() {
    std::promise<void> Entered, Go;
    net::FrameServer Server(
        Address_, Limits_,
        [&](net::FrameConnection &Connection, const std::string &) {
          Entered.set_value();
          Go.get_future().wait();
          return Connection.send(std::string(1 << 20, 'z')).ok();
        });
    auto Idle = connected();
    auto Busy = connected();
    CPPUNIT_ASSERT(Busy->send("a").ok());
    Entered.get_future().wait();
    auto Stopped = std::async(std::launch::async, [&] { Server.stop(); });
    CPPUNIT_ASSERT(absl::IsUnavailable(Idle->receive(5s).status()));
    CPPUNIT_ASSERT(!Idle->quiet());
    Go.set_value();
    auto Received = Busy->receive(5s);
    CPPUNIT_ASSERT(Received.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1 << 20}, Received->size());
    Stopped.get();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameTest);
