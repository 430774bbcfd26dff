#include "store.h"
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace loopback {

namespace {

using Json = nlohmann::json;

/// Time after which the store answers a call.
constexpr Milliseconds AnswerTime(4);
constexpr std::size_t RecentAppends = 5;
constexpr std::size_t PageSize = 500;
/// `max_record_bytes` of the settings.
constexpr std::size_t MaxRecordSize = 262144;

long numberParameter(const std::string &Target, const char *Name) {
  const std::string Text = queryParameter(Target, Name);
  return Text.empty() ? 0 : std::stol(Text);
}

void appendBigEndian(std::string &Bytes, std::uint64_t Value, int Size) {
  for (int Shift = 8 * (Size - 1); Shift >= 0; Shift -= 8)
    Bytes.push_back(static_cast<char>(Value >> Shift));
}

/// Returns the size of the record whose length begins at \p At.
std::size_t recordSize(const std::string &Body, std::size_t At) {
  std::size_t Size = 0;
  for (std::size_t I = At; I < At + 4; ++I)
    Size = Size << 8 | static_cast<unsigned char>(Body[I]);
  return Size;
}

std::string base64(const std::string &Bytes) {
  static const char Alphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Bits = 0;
    for (std::size_t J = I; J < I + 3; ++J)
      Bits = Bits << 8 |
             (J < Bytes.size() ? static_cast<unsigned char>(Bytes[J]) : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Text += I + J <= Bytes.size() ? Alphabet[Bits >> (18 - 6 * J) & 63] : '=';
  }
  return Text;
}

} // namespace

Store::Store(boost::asio::io_context &Context) : Context_(Context) {}

std::uint16_t Store::portOf(const std::string &Host) {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  std::unique_ptr<HttpServer> &Server = Servers_[Host];
  if (!Server)
    Server = std::make_unique<HttpServer>(
        Context_, [this, Host](const Request &Message, const Respond &Send) {
          handle(Host, Message, Send);
        });
  return Server->port();
}

void Store::setSilent(const std::string &Host, bool Silent) {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  if (Silent)
    SilentHosts_.insert(Host);
  else
    SilentHosts_.erase(Host);
}

void Store::publish(const std::string &Key, const std::string &Value) {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  Topics_["keyed.op"].Records_.push_back({Key, Value});
  answerReads("keyed.op");
}

void Store::handle(const std::string &Host, const Request &Message,
                   const Respond &Send) {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  if (SilentHosts_.count(Host) > 0)
    return;
  // An answer that becomes ready while the host is cut off does not reach it.
  auto Deliver = [this, Host, Send](Response Value) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context_);
    Timer->expires_after(AnswerTime);
    Timer->async_wait([this, Host, Send, Timer, Value = std::move(Value)](
                          const boost::system::error_code &) {
      std::lock_guard<std::recursive_mutex> Held(Mutex_);
      if (SilentHosts_.count(Host) == 0)
        Send(Value);
    });
  };
  const std::string Target(Message.target());
  const std::string Path = Target.substr(0, Target.find('?'));
  if (Path == "/log-append")
    Deliver(append(Target, Message.body()));
  else if (Path == "/log-read")
    read(Target, Deliver);
  else if (Path == "/log-newest")
    Deliver(newest(Target));
  else
    Deliver({404, "{}"});
}

Response Store::append(const std::string &Target, const std::string &Body) {
  for (std::size_t At = 0; At + 4 < Body.size();) {
    const std::size_t Size = recordSize(Body, At);
    if (Size > MaxRecordSize)
      return {400, Json{{"error", "a record is too large"}}.dump()};
    At += 4 + Size;
  }
  const std::string Name = queryParameter(Target, "topic");
  Topic &Log = Topics_[Name];
  Producer &Sender = Log.Producers_[queryParameter(Target, "producer")];
  const long Epoch = numberParameter(Target, "epoch");
  const long Sequence = numberParameter(Target, "sequence");
  if (Epoch < Sender.Epoch_)
    return {409, Json{{"reason", "fenced"}}.dump()};
  if (Epoch > Sender.Epoch_)
    Sender = {Epoch, Sequence, {}};
  for (const auto &[Known, Offset] : Sender.Recent_)
    if (Known == Sequence)
      return {
          200,
          Json{{"offset", Offset}, {"end_offset", Log.Records_.size()}}.dump()};
  if (Sequence != Sender.NextSequence_)
    return {409,
            Json{{"reason", "seq"}, {"sequence", Sender.NextSequence_}}.dump()};
  const std::size_t First = Log.Records_.size();
  for (std::size_t At = 0; At + 4 < Body.size();) {
    const std::size_t Size = recordSize(Body, At);
    At += 4;
    const std::size_t KeySize = static_cast<unsigned char>(Body[At]);
    Log.Records_.push_back({Body.substr(At + 1, KeySize),
                            Body.substr(At + 1 + KeySize, Size - 1 - KeySize)});
    At += Size;
  }
  ++Sender.NextSequence_;
  Sender.Recent_.emplace_back(Sequence, First);
  if (Sender.Recent_.size() > RecentAppends)
    Sender.Recent_.pop_front();
  answerReads(Name);
  return {200,
          Json{{"offset", First}, {"end_offset", Log.Records_.size()}}.dump()};
}

Response Store::page(const std::string &Name, std::size_t From) {
  const Topic &Log = Topics_[Name];
  Response Result;
  Result.Body_.clear();
  appendBigEndian(Result.Body_, Log.Records_.size(), 8);
  appendBigEndian(Result.Body_, 0, 8);
  for (std::size_t I = From; I < Log.Records_.size(); ++I) {
    const Record &Item = Log.Records_[I];
    appendBigEndian(Result.Body_, 1 + Item.Key_.size() + Item.Value_.size(), 4);
    appendBigEndian(Result.Body_, Item.Key_.size(), 1);
    Result.Body_ += Item.Key_ + Item.Value_;
  }
  return Result;
}

void Store::read(const std::string &Target, const Respond &Send) {
  auto Waiting = std::make_shared<PendingRead>();
  Waiting->Topic_ = queryParameter(Target, "topic");
  Waiting->From_ = static_cast<std::size_t>(numberParameter(Target, "from"));
  if (Waiting->From_ < Topics_[Waiting->Topic_].Records_.size())
    return Send(page(Waiting->Topic_, Waiting->From_));
  Waiting->Respond_ = Send;
  Reads_.push_back(Waiting);
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context_);
  Timer->expires_after(Milliseconds(numberParameter(Target, "wait_ms")));
  Timer->async_wait([this, Waiting, Timer](const boost::system::error_code &) {
    std::lock_guard<std::recursive_mutex> Lock(Mutex_);
    if (std::exchange(Waiting->Answered_, true))
      return;
    Reads_.remove(Waiting);
    Waiting->Respond_(page(Waiting->Topic_, Waiting->From_));
  });
}

void Store::answerReads(const std::string &Name) {
  for (const std::shared_ptr<PendingRead> &Waiting : Reads_)
    if (!Waiting->Answered_ && Waiting->Topic_ == Name) {
      Waiting->Answered_ = true;
      // The caller may not be on the thread of the context.
      boost::asio::post(Context_,
                        [Waiting, Value = page(Name, Waiting->From_)] {
                          Waiting->Respond_(Value);
                        });
    }
  Reads_.remove_if([](const auto &Waiting) { return Waiting->Answered_; });
}

Response Store::newest(const std::string &Target) {
  const Topic &Log = Topics_[queryParameter(Target, "topic")];
  const std::string After = queryParameter(Target, "after");
  std::map<std::string, std::size_t> Offsets;
  for (std::size_t I = 0; I < Log.Records_.size(); ++I)
    Offsets[Log.Records_[I].Key_] = I;
  Json Items = Json::array();
  bool More = false;
  for (const auto &[Key, Offset] : Offsets) {
    if (Key <= After || Log.Records_[Offset].Value_.empty())
      continue;
    More = Items.size() == PageSize;
    if (More)
      break;
    Items.push_back({{"key", Key},
                     {"value", base64(Log.Records_[Offset].Value_)},
                     {"offset", Offset}});
  }
  return {200, Json{{"items", Items},
                    {"has_more", More},
                    {"end_offset", Log.Records_.size()}}
                   .dump()};
}

} // namespace loopback
