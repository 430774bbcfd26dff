#pragma once

#include "holdersteps.h"
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegwell::cell {

/// Updates the recent usage of each service by account from the runs that hold
/// its resources, and hands the usages to the metrics once a second.
void updateUsage(Holder &State, const HolderContext &Context, Effects &Out);

/// Sets the usage rank of \p Units, and marks those that have waited longer
/// than their objective allows. Changes nothing for a service unless units of
/// two accounts wait that could not be placed at the last decision.
///
/// Load pattern: one account's burst beside nine accounts that send as usual.
void rankUnits(const Holder &State, const HolderContext &Context,
               std::vector<Unit> &Units);

/// Returns the place of \p Work among the units of its priority by objective:
/// on time, overdue, late, expired.
///
/// Load pattern: patient work that has expired, on a service where late work
/// of the same priority keeps arriving and always goes first.
int objectiveOrder(const HolderPolicy &Policy, const Unit &Work);

/// Number of units that could not be placed in one decision, by service and
/// account.
using UnplacedUnits = std::map<std::pair<std::string, std::string>, unsigned>;

/// Returns whether so many units of the account of \p Work could not be placed
/// that no more of them are tried in this decision. Guaranteed units are always
/// tried.
///
/// Load pattern: an account with a thousand waiting jobs, each of which takes a
/// search of all racks in each decision.
bool triesExhausted(const HolderPolicy &Policy, const UnplacedUnits &Unplaced,
                    const Unit &Work);

/// Counts a unit that could not be placed. Copies do not count, because the
/// task that they copy runs.
void countUnplaced(const Unit &Work, UnplacedUnits &Unplaced);

/// Remembers the accounts of units that could not be placed until the next
/// decision.
void recordWaitingAccounts(Holder &State, const UnplacedUnits &Unplaced);

} // namespace nutmegwell::cell
