// Callers whom the operator's tables deny: an unknown queue or an unknown key
// is only as true as the tables are recent.

#include "entrysteps.h"
#include <algorithm>

namespace nutmegwell::site {

DenialDecision decideDenial(const DenialState &Caller,
                            const DenialPolicy &Policy) {
  if (Caller.TablesAge_ <= Policy.MaxTablesAge_)
    return DenialDecision::Deny;
  if (!Caller.StoreReachable_ || Caller.Waited_ >= longestWait(Caller, Policy))
    return DenialDecision::Refuse;
  return DenialDecision::Wait;
}

core::Duration longestWait(const DenialState &Caller,
                           const DenialPolicy &Policy) {
  return std::min(Policy.MaxWait_, Caller.Timeout_ / 2);
}

std::optional<ReplyKind> denialByTables(const jobs::ServiceTables &Tables,
                                        const CallerRequest &Request) {
  const jobs::Queue *Queue = Tables.route(Request.Host_, Request.Path_);
  if (!Queue)
    return ReplyKind::UnknownQueue;
  if (!Queue->Anonymous_ && !Tables.accountOf(Request.ApiKey_))
    return ReplyKind::UnknownKey;
  return std::nullopt;
}

DenialState denialState(const EntryState &State, const CallerRequest &Request,
                        core::TimePoint Now) {
  return {Now - tablesCompleteAsOf(State), Now - Request.ArrivedAt_,
          Request.Timeout_, !hasNoStorePath(State, Now)};
}

void answerDeniedCalls(EntryState &State, core::TimePoint Now,
                       jobs::WallTime Wall, EntryEffects &Out) {
  const DenialPolicy &Policy = State.Settings_.Policy_.Denial_;
  std::vector<CallerRequest> Waiting;
  Waiting.swap(State.DeniedCalls_);
  for (CallerRequest &Request : Waiting) {
    const DenialState Caller = denialState(State, Request, Now);
    if (denialByTables(*State.Tables_, Request) &&
        decideDenial(Caller, Policy) == DenialDecision::Wait) {
      Out.WakeAt_ = std::min(Out.WakeAt_,
                             Request.ArrivedAt_ + longestWait(Caller, Policy));
      State.DeniedCalls_.push_back(std::move(Request));
      continue;
    }
    // The caller has used up a part of its time.
    Request.Timeout_ -= Caller.Waited_;
    onCallerRequest(State, std::move(Request), Now, Wall, Out);
  }
}

} // namespace nutmegwell::site
