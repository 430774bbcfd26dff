#include "store.h"
#include <nlohmann/json.hpp>

namespace testbed {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxRecordBytes = 262144;
constexpr std::size_t MaxCallBytes = 2097152;
constexpr std::size_t MaxPageBytes = 1048576;
constexpr std::size_t MaxPageItems = 500;
constexpr auto AppendTime = Milliseconds(3);
constexpr auto AnswerTime = Milliseconds(1);

Response jsonResponse(int Status, const Json &Body) {
  Response Answer;
  Answer.Status_ = Status;
  Answer.Body_ = Body.dump();
  return Answer;
}

long numberOf(const Request &Message, const char *Name, long Default) {
  const std::string Text = Message.query(Name);
  return Text.empty() ? Default : std::stol(Text);
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

Store::Store(Record &Lines)
    : Record_(Lines),
      Server_([this](const Request &Message) { return handle(Message); }) {}

void Store::setMode(Mode Wanted) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Mode_ = Wanted;
  Changed_.notify_all();
}

void Store::publish(const std::string &Key, const std::string &Value) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  add(Topics_["keyed.op"], {Key, Value});
  Changed_.notify_all();
}

void Store::dropHistory() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (auto &[Name, Target] : Topics_)
    Target.FirstRetained_ = Target.Items_.size();
}

void Store::add(Topic &Target, Item Added) {
  if (Added.Value_.empty())
    Target.Newest_.erase(Added.Key_);
  else
    Target.Newest_[Added.Key_] = Target.Items_.size();
  Target.Items_.push_back(std::move(Added));
}

std::optional<Response> Store::handle(const Request &Message) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Mode_ == Mode::Silent)
      return std::nullopt;
    if (Mode_ == Mode::Busy)
      return jsonResponse(503, Json::object());
  }
  std::this_thread::sleep_for(AnswerTime);
  std::optional<Response> Answer;
  if (Message.Path_ == "/log-append")
    Answer = append(Message);
  else if (Message.Path_ == "/log-read")
    Answer = read(Message);
  else if (Message.Path_ == "/log-newest")
    Answer = readNewest(Message);
  else
    Answer = jsonResponse(404, Json::object());
  std::lock_guard<std::mutex> Lock(Mutex_);
  // A call that was waiting when the outage began gets no answer either.
  if (Mode_ == Mode::Silent)
    return std::nullopt;
  return Answer;
}

Response Store::append(const Request &Message) {
  std::this_thread::sleep_for(AppendTime);
  std::lock_guard<std::mutex> Lock(Mutex_);
  const std::string &Body = Message.Body_;
  std::vector<Item> Items;
  std::size_t Largest = 0;
  for (std::size_t At = 0; At + 5 <= Body.size();) {
    std::size_t Size = 0;
    for (int I = 0; I < 4; ++I)
      Size = Size << 8 | static_cast<unsigned char>(Body[At++]);
    if (Size == 0 || At + Size > Body.size())
      return jsonResponse(400, Json::object());
    Largest = std::max(Largest, Size);
    const std::size_t KeySize = static_cast<unsigned char>(Body[At]);
    if (1 + KeySize > Size)
      return jsonResponse(400, Json::object());
    Items.push_back({Body.substr(At + 1, KeySize),
                     Body.substr(At + 1 + KeySize, Size - 1 - KeySize)});
    At += Size;
  }
  if (Largest > MaxRecordBytes || Body.size() > MaxCallBytes) {
    if (Oversized_++ % 50 == 0)
      Record_.add("store: 413 for an append of " + std::to_string(Body.size()) +
                  " bytes by producer " + Message.query("producer") +
                  ", its largest record has " + std::to_string(Largest) +
                  " bytes; refusals so far: " + std::to_string(Oversized_));
    return jsonResponse(413, Json::object());
  }
  Topic &Target = Topics_[Message.query("topic")];
  Producer &Sender = Target.Producers_[Message.query("producer")];
  const long Epoch = numberOf(Message, "epoch", 0);
  const long Sequence = numberOf(Message, "sequence", 0);
  if (Epoch < Sender.Epoch_)
    return jsonResponse(409, {{"reason", "fenced"}});
  if (Epoch > Sender.Epoch_)
    Sender = {Epoch, Sequence, {}};
  for (const auto &[Known, Offset] : Sender.Recent_)
    if (Known == Sequence)
      return jsonResponse(200, {{"offset", Offset}});
  if (Sequence != Sender.NextSequence_)
    return jsonResponse(
        409, {{"reason", "seq"}, {"sequence", Sender.NextSequence_}});
  const std::size_t Offset = Target.Items_.size();
  for (Item &Added : Items)
    add(Target, std::move(Added));
  ++Sender.NextSequence_;
  Sender.Recent_.emplace_back(Sequence, Offset);
  constexpr std::size_t KeptAnswers = 5;
  if (Sender.Recent_.size() > KeptAnswers)
    Sender.Recent_.pop_front();
  Changed_.notify_all();
  return jsonResponse(
      200, {{"offset", Offset}, {"end_offset", Target.Items_.size()}});
}

Response Store::read(const Request &Message) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  Topic &Target = Topics_[Message.query("topic")];
  const auto From = static_cast<std::size_t>(numberOf(Message, "from", 0));
  if (From < Target.FirstRetained_)
    return jsonResponse(410, {{"first_offset", Target.FirstRetained_}});
  Changed_.wait_for(Lock, Milliseconds(numberOf(Message, "wait_ms", 0)), [&] {
    return Target.Items_.size() > From || Mode_ != Mode::Up;
  });
  Response Answer;
  Answer.ContentType_ = "application/octet-stream";
  appendBigEndian(Answer.Body_, Target.Items_.size(), 8);
  appendBigEndian(Answer.Body_, Target.FirstRetained_, 8);
  for (std::size_t I = From; I < Target.Items_.size(); ++I) {
    const Item &Next = Target.Items_[I];
    const std::size_t Size = 1 + Next.Key_.size() + Next.Value_.size();
    if (I > From && Answer.Body_.size() + Size > MaxPageBytes)
      break;
    appendBigEndian(Answer.Body_, Size, 4);
    appendBigEndian(Answer.Body_, Next.Key_.size(), 1);
    Answer.Body_ += Next.Key_ + Next.Value_;
  }
  return Answer;
}

Response Store::readNewest(const Request &Message) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  const Topic &Target = Topics_[Message.query("topic")];
  Json Items = Json::array();
  bool More = false;
  std::size_t Bytes = 0;
  for (auto It = Target.Newest_.upper_bound(Message.query("after"));
       It != Target.Newest_.end(); ++It) {
    const Item &Next = Target.Items_[It->second];
    Bytes += Next.Value_.size();
    More = Items.size() == MaxPageItems ||
           (!Items.empty() && Bytes > MaxPageBytes);
    if (More)
      break;
    Items.push_back({{"key", Next.Key_},
                     {"value", base64(Next.Value_)},
                     {"offset", It->second}});
  }
  return jsonResponse(200, {{"items", Items},
                            {"has_more", More},
                            {"end_offset", Target.Items_.size()}});
}

} // namespace testbed
