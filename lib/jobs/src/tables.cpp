#include "nutmegwell/jobs/tables.h"
#include <algorithm>

namespace nutmegwell::jobs {

namespace {

template <typename Row, typename Match>
const Row *findRow(const std::vector<Row> &Rows, Match Matches) {
  auto It = std::find_if(Rows.begin(), Rows.end(), Matches);
  return It == Rows.end() ? nullptr : &*It;
}

} // namespace

const Queue *ServiceTables::route(const std::string &Host,
                                  const std::string &Path) const {
  const Queue *Best = nullptr;
  for (const Queue &Row : Queues_) {
    if (Row.Host_ != Host || Path.rfind(Row.PathPrefix_, 0) != 0)
      continue;
    if (!Best || Row.PathPrefix_.size() > Best->PathPrefix_.size())
      Best = &Row;
  }
  return Best;
}

const Queue *ServiceTables::queue(const std::string &Name) const {
  return findRow(Queues_, [&](const Queue &Row) { return Row.Name_ == Name; });
}

const Account *ServiceTables::accountOf(const std::string &Key) const {
  return findRow(Accounts_, [&](const Account &Row) {
    return std::find(Row.Keys_.begin(), Row.Keys_.end(), Key) !=
           Row.Keys_.end();
  });
}

const Account *ServiceTables::account(const std::string &Name) const {
  return findRow(Accounts_,
                 [&](const Account &Row) { return Row.Name_ == Name; });
}

const Pool *ServiceTables::pool(const std::string &Service) const {
  return findRow(Pools_,
                 [&](const Pool &Row) { return Row.Service_ == Service; });
}

} // namespace nutmegwell::jobs
