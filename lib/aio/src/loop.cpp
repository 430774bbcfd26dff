#include "loopimpl.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace nutmegwell::aio {

namespace {

void awaitSignal(Loop::Impl &Impl, std::function<void(int)> Handler) {
  Impl.Signals_.async_wait(
      [&Impl, Handler](const boost::system::error_code &Error, int Signal) {
        if (Error)
          return;
        Handler(Signal);
        awaitSignal(Impl, Handler);
      });
}

} // namespace

Loop::Loop() : Impl_(std::make_unique<Impl>()) {}

Loop::~Loop() = default;

void Loop::post(std::function<void()> Task) {
  boost::asio::post(Impl_->Context_, std::move(Task));
}

void Loop::after(core::Duration Delay, std::function<void()> Task) {
  post([this, Delay, Task = std::move(Task)] {
    auto Timer =
        std::make_shared<boost::asio::steady_timer>(Impl_->Context_, Delay);
    Timer->async_wait([Timer, Task](const boost::system::error_code &Error) {
      if (!Error)
        Task();
    });
  });
}

void Loop::onSignals(std::initializer_list<int> Signals,
                     std::function<void(int)> Handler) {
  for (int Signal : Signals)
    Impl_->Signals_.add(Signal);
  awaitSignal(*Impl_, std::move(Handler));
}

void Loop::run(const std::function<void(const std::exception &)> &OnError) {
  auto Guard = boost::asio::make_work_guard(Impl_->Context_);
  while (!Impl_->Context_.stopped()) {
    try {
      Impl_->Context_.run();
    } catch (const std::exception &Error) {
      if (!OnError)
        throw;
      OnError(Error);
    }
  }
}

void Loop::stop() { Impl_->Context_.stop(); }

} // namespace nutmegwell::aio
