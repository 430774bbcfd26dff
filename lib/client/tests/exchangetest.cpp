#include "nutmegwell/client/exchange.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace std::chrono_literals;
using client::ErrorBody;
using client::Outcome;

class ExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExchangeTest);
  CPPUNIT_TEST(onlyCertainlyNotRunGoesToTheNextEntry);
  CPPUNIT_TEST(upstreamErrorIsTheAnswer);
  CPPUNIT_TEST(noEntryIsNotRun);
  CPPUNIT_TEST_SUITE_END();

  using Answer = absl::StatusOr<net::HttpResponse>;

  static Answer failure(const char *Step) {
    return core::makeError(absl::StatusCode::kUnavailable, Step, "p", "m");
  }

  static Answer error(unsigned Status, const std::string &Code,
                      wire::ApiOutcome Outcome = wire::ApiOutcome::NotRun) {
    wire::ApiError Error;
    Error.Code_ = Code;
    Error.Outcome_ = Outcome;
    return net::HttpResponse{Status, "application/json",
                             wire::formatError(Error)};
  }

  /// Sends to two entry hosts, of which the second always answers "ok".
  /// Returns the reply and whether the second one was asked.
  static std::pair<client::Reply, bool> send(const Answer &First,
                                             ErrorBody Body) {
    bool SecondAsked = false;
    client::Transport Transport{[&](const net::Address &Entry,
                                    const net::HttpRequest &,
                                    core::Duration) -> Answer {
      if (Entry.Port_ == 1)
        return First;
      SecondAsked = true;
      return net::HttpResponse{200, "text/plain", "ok"};
    }};
    auto Reply =
        client::exchange(Transport, {{"127.0.0.1", 1}, {"127.0.0.1", 2}},
                         net::HttpRequest(), Body, 1s);
    return {Reply, SecondAsked};
  }

  /// Guards against a request that runs twice, and against giving up while an
  /// entry host could still take it.
  void onlyCertainlyNotRunGoesToTheNextEntry() {
    struct Case {
      Answer First_;
      bool SecondAsked_;
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
      const auto Result = send(Each.First_, ErrorBody::Always);
      const std::string Name = "case " + std::to_string(Number++);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, Each.SecondAsked_, Result.second);
      CPPUNIT_ASSERT_MESSAGE(Name, Each.Outcome_ == Result.first.Outcome_);
    }
  }

  /// Guards against an upstream's own error that is shown as a refusal.
  void upstreamErrorIsTheAnswer() {
    const auto Result = send(net::HttpResponse{404, "text/plain", "no page"},
                             ErrorBody::WhenRecognised);
    CPPUNIT_ASSERT(Result.first.Outcome_ == Outcome::Answered);
    CPPUNIT_ASSERT_EQUAL(std::string("no page"), Result.first.Response_.Body_);
    CPPUNIT_ASSERT(!Result.second);
  }

  /// Guards against success without any entry host.
  void noEntryIsNotRun() {
    const auto Reply = client::exchange(
        client::Transport(), {}, net::HttpRequest(), ErrorBody::Always, 1s);
    CPPUNIT_ASSERT(Reply.Outcome_ == Outcome::Refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExchangeTest);
