#include "nutmegwell/routing/snapshot.h"

namespace nutmegwell::routing {

const model::PoolRow *findPool(const model::PoolsTable &Pools,
                               const model::AccountName &Account,
                               const model::ServiceName &Service) {
  const model::PoolRow *Best = nullptr;
  for (const model::PoolRow &Row : Pools.Rows_)
    if (Row.Account_ == Account && Row.Service_ == Service &&
        (!Best || Row.RequestLimit_ > Best->RequestLimit_))
      Best = &Row;
  return Best;
}

} // namespace nutmegwell::routing
