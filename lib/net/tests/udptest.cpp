#include "nutmegwell/net/udp.h"
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>

using namespace nutmegwell;

class UdpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UdpTest);
  CPPUNIT_TEST(responseReachesSender);
  CPPUNIT_TEST(malformedAddressIsRejected);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a response that is sent to an address other than the
  /// sender's.
  void responseReachesSender() {
    std::promise<std::string> Answer;
    net::Address Any{"127.0.0.1", 0};
    std::atomic<net::UdpEndpoint *> Second{nullptr};
    net::UdpEndpoint Server(Any,
                            [&](const net::Address &From, std::string Bytes) {
                              Second.load()->send(From, "re:" + Bytes);
                            });
    net::UdpEndpoint Client(Any, [&](const net::Address &, std::string Bytes) {
      Answer.set_value(Bytes);
    });
    Second = &Server;
    Client.send({"127.0.0.1", Server.port()}, "hello");
    CPPUNIT_ASSERT_EQUAL(std::string("re:hello"), Answer.get_future().get());
  }

  /// Guards against malformed addresses in the settings that are accepted and
  /// then fail at run time.
  void malformedAddressIsRejected() {
    net::Address Value;
    CPPUNIT_ASSERT(net::parseAddress("127.0.0.1:80", Value));
    for (const char *Text : {"", ":80", "host:80", "127.0.0.1", "127.0.0.1:",
                             "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x"})
      CPPUNIT_ASSERT(!net::parseAddress(Text, Value));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UdpTest);
