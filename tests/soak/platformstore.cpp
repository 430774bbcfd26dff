#include "platformstore.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace soak {

namespace {

using Json = nlohmann::json;

net::HttpResponse status(unsigned Code, const Json &Body = Json::object()) {
  net::HttpResponse Response;
  Response.Status_ = Code;
  Response.Body_ = Body.dump();
  return Response;
}

std::int64_t number(const net::HttpRequest &Request, const char *Name) {
  const std::string Text = Request.parameter(Name);
  return Text.empty() ? 0 : std::stoll(Text);
}

void putNumber(std::string &Bytes, std::uint64_t Value, int Size) {
  for (int Shift = 8 * (Size - 1); Shift >= 0; Shift -= 8)
    Bytes.push_back(static_cast<char>(Value >> Shift));
}

std::string base64(const std::string &Bytes) {
  static const char Alphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Bits = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Bits = Bits << 8 |
             (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                   : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Text += I + J <= Bytes.size() ? Alphabet[Bits >> (18 - 6 * J) & 63] : '=';
  }
  return Text;
}

} // namespace

PlatformStore::PlatformStore(aio::Loop &Owner, const net::Address &Listen)
    : Loop_(Owner),
      Server_(Owner, Listen, aio::ServerLimits(),
              [this](net::HttpRequest Request, aio::Responder Respond) {
                handle(Request, Respond);
              }) {}

void PlatformStore::handle(const net::HttpRequest &Request,
                           const aio::Responder &Respond) {
  constexpr core::Duration SlowAnswer = std::chrono::milliseconds(250);
  const StoreMode Mode = Mode_;
  if (Mode == StoreMode::Silent)
    return;
  if (Mode == StoreMode::Busy)
    return Respond(status(503));
  aio::Responder Answer = Respond;
  if (Mode == StoreMode::Slow)
    Answer = [this, Respond, SlowAnswer](const net::HttpResponse &Response) {
      Loop_.after(SlowAnswer, [Respond, Response] { Respond(Response); });
    };
  if (Request.Path_ == "/log-append") {
    const net::HttpResponse Response = append(Request);
    if (Mode != StoreMode::LosesAnswers)
      Answer(Response);
  } else if (Request.Path_ == "/log-read") {
    read(Request, Answer);
  } else if (Request.Path_ == "/log-newest") {
    Answer(newest(Request));
  } else {
    Answer(status(404));
  }
}

net::HttpResponse PlatformStore::append(const net::HttpRequest &Request) {
  const std::string Name = Request.parameter("topic");
  Topic &Of = Topics_[Name];
  Producer &Writer = Of.Producers_[Request.parameter("producer")];
  const std::int64_t Epoch = number(Request, "epoch");
  const std::int64_t Sequence = number(Request, "sequence");
  if (Epoch < Writer.Epoch_)
    return status(409, {{"reason", "fenced"}});
  if (Epoch > Writer.Epoch_)
    Writer = {Epoch, Sequence, {}};
  for (const auto &[Known, Offset] : Writer.Newest_)
    if (Known == Sequence)
      return status(200, {{"offset", Offset}});
  if (Sequence != Writer.Next_)
    return status(409, {{"reason", "seq"}, {"sequence", Writer.Next_}});
  const std::size_t Offset = Of.Records_.size();
  const std::string &Body = Request.Body_;
  for (std::size_t At = 0; At + 5 <= Body.size();) {
    std::size_t Size = 0;
    for (int I = 0; I < 4; ++I)
      Size = Size << 8 | static_cast<unsigned char>(Body[At++]);
    const std::size_t KeySize = static_cast<unsigned char>(Body[At]);
    Of.Records_.push_back({Body.substr(At + 1, KeySize),
                           Body.substr(At + 1 + KeySize, Size - 1 - KeySize)});
    At += Size;
  }
  ++Writer.Next_;
  Writer.Newest_.emplace_back(Sequence, Offset);
  constexpr std::size_t KeptAnswers = 5;
  if (Writer.Newest_.size() > KeptAnswers)
    Writer.Newest_.pop_front();
  wake(Name);
  return status(200, {{"offset", Offset}, {"end_offset", Of.Records_.size()}});
}

net::HttpResponse PlatformStore::page(const Topic &Of, std::size_t From) {
  net::HttpResponse Response;
  putNumber(Response.Body_, Of.Records_.size(), 8);
  putNumber(Response.Body_, Of.First_, 8);
  for (std::size_t I = From; I < Of.Records_.size(); ++I) {
    const Record &Row = Of.Records_[I];
    putNumber(Response.Body_, 1 + Row.Key_.size() + Row.Value_.size(), 4);
    putNumber(Response.Body_, Row.Key_.size(), 1);
    Response.Body_ += Row.Key_ + Row.Value_;
  }
  return Response;
}

void PlatformStore::read(const net::HttpRequest &Request,
                         const aio::Responder &Respond) {
  const std::string Name = Request.parameter("topic");
  const Topic &Of = Topics_[Name];
  const auto From = static_cast<std::size_t>(number(Request, "from"));
  if (From < Of.First_)
    return Respond(status(410, {{"first_offset", Of.First_}}));
  if (From < Of.Records_.size())
    return Respond(page(Of, From));
  auto Waiting = std::make_shared<Waiter>(Waiter{Name, From, Respond, false});
  Waiters_.push_back(Waiting);
  Loop_.after(
      std::chrono::milliseconds(number(Request, "wait_ms")), [this, Waiting] {
        if (!Waiting->Done_)
          Waiting->Respond_(page(Topics_[Waiting->Topic_], Waiting->From_));
        Waiting->Done_ = true;
      });
}

void PlatformStore::wake(const std::string &Name) {
  for (const auto &Waiting : Waiters_)
    if (!Waiting->Done_ && Waiting->Topic_ == Name) {
      Waiting->Done_ = true;
      Waiting->Respond_(page(Topics_[Name], Waiting->From_));
    }
  Waiters_.erase(std::remove_if(Waiters_.begin(), Waiters_.end(),
                                [](const auto &Row) { return Row->Done_; }),
                 Waiters_.end());
}

net::HttpResponse PlatformStore::newest(const net::HttpRequest &Request) {
  const Topic &Of = Topics_[Request.parameter("topic")];
  const std::string After = Request.parameter("after");
  constexpr std::size_t PageSize = 50;
  std::map<std::string, std::size_t> Newest;
  for (std::size_t I = 0; I < Of.Records_.size(); ++I)
    Newest[Of.Records_[I].Key_] = I;
  Json Items = Json::array();
  bool More = false;
  for (const auto &[Key, Offset] : Newest) {
    if (Key <= After || Of.Records_[Offset].Value_.empty())
      continue;
    More = Items.size() == PageSize;
    if (More)
      break;
    Items.push_back({{"key", Key},
                     {"value", base64(Of.Records_[Offset].Value_)},
                     {"offset", Offset}});
  }
  return status(200, {{"items", Items},
                      {"has_more", More},
                      {"end_offset", Of.Records_.size()}});
}

void PlatformStore::dropHistory() {
  Loop_.post([this] {
    for (auto &[Name, Of] : Topics_)
      Of.First_ = Of.Records_.size();
  });
}

void PlatformStore::publish(const std::string &Key, const std::string &Value) {
  Loop_.post([this, Key, Value] {
    Topics_["keyed.op"].Records_.push_back({Key, Value});
    wake("keyed.op");
  });
}

} // namespace soak
