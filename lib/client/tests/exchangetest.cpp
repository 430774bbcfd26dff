#include "nutmegwell/client/exchange.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace std::chrono_literals;
using client::ErrorSource;
using client::Outcome;

class ExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExchangeTest);
  CPPUNIT_TEST(onlyRequestsNotRunAreSentToTheNextEntry);
  CPPUNIT_TEST(upstreamErrorIsReturnedAsResponse);
  CPPUNIT_TEST(emptyEntryListIsRefused);
  CPPUNIT_TEST_SUITE_END();

  using TransportResult = absl::StatusOr<net::HttpResponse>;

  static TransportResult failure(const char *Step) {
    return core::makeError(absl::StatusCode::kUnavailable, Step, "p", "m");
  }

  static TransportResult
  error(unsigned Status, const std::string &Code,
        wire::ApiOutcome Outcome = wire::ApiOutcome::NotRun) {
    wire::ApiError Error;
    Error.Code_ = Code;
    Error.Outcome_ = Outcome;
    return net::HttpResponse{Status, "application/json",
                             wire::formatError(Error)};
  }

  /// Sends a request to two entry hosts; the first returns \p First, the second
  /// always responds "ok". Returns the result and whether the second one was
  /// contacted.
  static std::pair<client::ExchangeResult, bool>
  send(const TransportResult &First, ErrorSource Source) {
    bool SecondContacted = false;
    client::Transport Transport{[&](const net::Address &Entry,
                                    const net::HttpRequest &,
                                    core::Duration) -> TransportResult {
      if (Entry.Port_ == 1)
        return First;
      SecondContacted = true;
      return net::HttpResponse{200, "text/plain", "ok"};
    }};
    auto Result =
        client::exchange(Transport, {{"127.0.0.1", 1}, {"127.0.0.1", 2}},
                         net::HttpRequest(), Source, 1s);
    return {Result, SecondContacted};
  }

  /// Guards against a request that runs twice, and against a request that fails
  /// although another entry host could accept it.
  void onlyRequestsNotRunAreSentToTheNextEntry() {
    struct Case {
      TransportResult First_;
      bool SecondContacted_;
      Outcome Outcome_;
    };
    const Case Cases[] = {
        {failure("connect"), true, Outcome::Answered},
        {error(503, "stopping"), true, Outcome::Answered},
        {error(503, "log_unavailable"), true, Outcome::Answered},
        {error(503, "overloaded"), false, Outcome::Refused},
        {error(409, "stale_version"), false, Outcome::Refused},
        {error(503, "stopping", wire::ApiOutcome::Unknown), false,
         Outcome::Unknown},
        {failure("exchange"), false, Outcome::Unknown},
        {failure(""), false, Outcome::Unknown},
        {net::HttpResponse{502, "text/html", "<html>"}, false,
         Outcome::Unknown}};
    int Number = 0;
    for (const Case &Each : Cases) {
      const auto Result = send(Each.First_, ErrorSource::EntryHost);
      const std::string Name = "case " + std::to_string(Number++);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, Each.SecondContacted_, Result.second);
      CPPUNIT_ASSERT_MESSAGE(Name, Each.Outcome_ == Result.first.Outcome_);
    }
  }

  /// Guards against an error response of an upstream that is reported as a
  /// refusal by the entry host.
  void upstreamErrorIsReturnedAsResponse() {
    const auto Result = send(net::HttpResponse{404, "text/plain", "no page"},
                             ErrorSource::EntryHostOrUpstream);
    CPPUNIT_ASSERT(Result.first.Outcome_ == Outcome::Answered);
    CPPUNIT_ASSERT_EQUAL(std::string("no page"), Result.first.Response_.Body_);
    CPPUNIT_ASSERT(!Result.second);
  }

  /// Guards against success when no entry host is given.
  void emptyEntryListIsRefused() {
    const auto Result =
        client::exchange(client::Transport(), {}, net::HttpRequest(),
                         ErrorSource::EntryHost, 1s);
    CPPUNIT_ASSERT(Result.Outcome_ == Outcome::Refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExchangeTest);
