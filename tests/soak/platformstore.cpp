#include "platformstore.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace soak {

namespace {

using Json = nlohmann::json;

net::HttpResponse jsonResponse(unsigned Code,
                               const Json &Body = Json::object()) {
  net::HttpResponse Response;
  Response.Status_ = Code;
  Response.Body_ = Body.dump();
  return Response;
}

std::int64_t integerParameter(const net::HttpRequest &Request,
                              const char *Name) {
  const std::string Text = Request.parameter(Name);
  return Text.empty() ? 0 : std::stoll(Text);
}

void appendBigEndian(std::string &Bytes, std::uint64_t Value, int Size) {
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
  constexpr core::Duration SlowResponseDelay = std::chrono::milliseconds(250);
  const StoreMode Mode = Mode_;
  if (Mode == StoreMode::Unresponsive)
    return;
  if (Mode == StoreMode::Unavailable)
    return Respond(jsonResponse(503));
  aio::Responder SendResponse = Respond;
  if (Mode == StoreMode::Slow)
    SendResponse = [this, Respond,
                    SlowResponseDelay](const net::HttpResponse &Response) {
      Loop_.after(SlowResponseDelay,
                  [Respond, Response] { Respond(Response); });
    };
  if (Request.Path_ == "/log-append") {
    const net::HttpResponse Response = append(Request);
    if (Mode != StoreMode::DropsAppendResponses)
      SendResponse(Response);
  } else if (Request.Path_ == "/log-read") {
    read(Request, SendResponse);
  } else if (Request.Path_ == "/log-newest") {
    SendResponse(readNewest(Request));
  } else {
    SendResponse(jsonResponse(404));
  }
}

net::HttpResponse PlatformStore::append(const net::HttpRequest &Request) {
  const std::string Name = Request.parameter("topic");
  Topic &TopicLog = Topics_[Name];
  Producer &Sender = TopicLog.Producers_[Request.parameter("producer")];
  const std::int64_t Epoch = integerParameter(Request, "epoch");
  const std::int64_t Sequence = integerParameter(Request, "sequence");
  if (Epoch < Sender.Epoch_)
    return jsonResponse(409, {{"reason", "fenced"}});
  if (Epoch > Sender.Epoch_)
    Sender = {Epoch, Sequence, {}};
  for (const auto &[KnownSequence, Offset] : Sender.RecentAppends_)
    if (KnownSequence == Sequence)
      return jsonResponse(200, {{"offset", Offset}});
  if (Sequence != Sender.NextSequence_)
    return jsonResponse(
        409, {{"reason", "seq"}, {"sequence", Sender.NextSequence_}});
  const std::size_t Offset = TopicLog.Records_.size();
  const std::string &Body = Request.Body_;
  for (std::size_t Position = 0; Position + 5 <= Body.size();) {
    std::size_t Size = 0;
    for (int I = 0; I < 4; ++I)
      Size = Size << 8 | static_cast<unsigned char>(Body[Position++]);
    const std::size_t KeySize = static_cast<unsigned char>(Body[Position]);
    TopicLog.Records_.push_back(
        {Body.substr(Position + 1, KeySize),
         Body.substr(Position + 1 + KeySize, Size - 1 - KeySize)});
    Position += Size;
  }
  ++Sender.NextSequence_;
  Sender.RecentAppends_.emplace_back(Sequence, Offset);
  constexpr std::size_t RetainedAppends = 5;
  if (Sender.RecentAppends_.size() > RetainedAppends)
    Sender.RecentAppends_.pop_front();
  answerPendingReads(Name);
  return jsonResponse(
      200, {{"offset", Offset}, {"end_offset", TopicLog.Records_.size()}});
}

net::HttpResponse PlatformStore::encodePage(const Topic &TopicLog,
                                            std::size_t From) {
  net::HttpResponse Response;
  appendBigEndian(Response.Body_, TopicLog.Records_.size(), 8);
  appendBigEndian(Response.Body_, TopicLog.FirstOffset_, 8);
  for (std::size_t I = From; I < TopicLog.Records_.size(); ++I) {
    const Record &Item = TopicLog.Records_[I];
    appendBigEndian(Response.Body_, 1 + Item.Key_.size() + Item.Value_.size(),
                    4);
    appendBigEndian(Response.Body_, Item.Key_.size(), 1);
    Response.Body_ += Item.Key_ + Item.Value_;
  }
  return Response;
}

void PlatformStore::read(const net::HttpRequest &Request,
                         const aio::Responder &Respond) {
  const std::string Name = Request.parameter("topic");
  const Topic &TopicLog = Topics_[Name];
  const auto From = static_cast<std::size_t>(integerParameter(Request, "from"));
  if (From < TopicLog.FirstOffset_)
    return Respond(
        jsonResponse(410, {{"first_offset", TopicLog.FirstOffset_}}));
  if (From < TopicLog.Records_.size())
    return Respond(encodePage(TopicLog, From));
  auto Pending =
      std::make_shared<PendingRead>(PendingRead{Name, From, Respond, false});
  PendingReads_.push_back(Pending);
  Loop_.after(std::chrono::milliseconds(integerParameter(Request, "wait_ms")),
              [this, Pending] {
                if (!Pending->Answered_)
                  Pending->Respond_(
                      encodePage(Topics_[Pending->Topic_], Pending->From_));
                Pending->Answered_ = true;
              });
}

void PlatformStore::answerPendingReads(const std::string &Name) {
  for (const auto &Pending : PendingReads_)
    if (!Pending->Answered_ && Pending->Topic_ == Name) {
      Pending->Answered_ = true;
      Pending->Respond_(encodePage(Topics_[Name], Pending->From_));
    }
  PendingReads_.erase(
      std::remove_if(PendingReads_.begin(), PendingReads_.end(),
                     [](const auto &Item) { return Item->Answered_; }),
      PendingReads_.end());
}

net::HttpResponse PlatformStore::readNewest(const net::HttpRequest &Request) {
  const Topic &TopicLog = Topics_[Request.parameter("topic")];
  const std::string After = Request.parameter("after");
  constexpr std::size_t PageSize = 50;
  std::map<std::string, std::size_t> Newest;
  for (std::size_t I = 0; I < TopicLog.Records_.size(); ++I)
    Newest[TopicLog.Records_[I].Key_] = I;
  Json Items = Json::array();
  bool More = false;
  for (const auto &[Key, Offset] : Newest) {
    if (Key <= After || TopicLog.Records_[Offset].Value_.empty())
      continue;
    More = Items.size() == PageSize;
    if (More)
      break;
    Items.push_back({{"key", Key},
                     {"value", base64(TopicLog.Records_[Offset].Value_)},
                     {"offset", Offset}});
  }
  return jsonResponse(200, {{"items", Items},
                            {"has_more", More},
                            {"end_offset", TopicLog.Records_.size()}});
}

void PlatformStore::dropHistory() {
  Loop_.post([this] {
    for (auto &[Name, TopicLog] : Topics_)
      TopicLog.FirstOffset_ = TopicLog.Records_.size();
  });
}

void PlatformStore::publish(const std::string &Key, const std::string &Value) {
  Loop_.post([this, Key, Value] {
    Topics_["keyed.op"].Records_.push_back({Key, Value});
    answerPendingReads("keyed.op");
  });
}

} // namespace soak
