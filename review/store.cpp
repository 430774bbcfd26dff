#include "store.h"
#include <nlohmann/json.hpp>
#include <thread>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxRecordBytes = 262144;
constexpr std::size_t MaxCallBytes = 2097152;
constexpr std::size_t RetainedAppends = 5;
constexpr std::size_t PageSize = 500;

HttpResponse answer(unsigned Status, const Json &Body = Json::object()) {
  return {Status, Body.dump()};
}

std::int64_t number(const HttpRequest &Request, const char *Name) {
  auto It = Request.Query_.find(Name);
  return It == Request.Query_.end() ? 0 : std::stoll(It->second);
}

std::string text(const HttpRequest &Request, const char *Name) {
  auto It = Request.Query_.find(Name);
  return It == Request.Query_.end() ? std::string() : It->second;
}

std::string bigEndian(std::uint64_t Value, int Size) {
  std::string Bytes;
  for (int Shift = 8 * (Size - 1); Shift >= 0; Shift -= 8)
    Bytes.push_back(static_cast<char>(Value >> Shift));
  return Bytes;
}

std::string base64(const std::string &Bytes) {
  static const char Alphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Bits = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Bits = Bits << 8 |
             (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                   : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Result +=
          I + J <= Bytes.size() ? Alphabet[Bits >> (18 - 6 * J) & 63] : '=';
  }
  return Result;
}

/// Splits a body into its records; returns nothing when one is too long or the
/// body is malformed.
std::optional<std::vector<std::string>> splitRecords(const std::string &Body) {
  std::vector<std::string> Records;
  std::size_t Total = 0;
  for (std::size_t At = 0; At < Body.size();) {
    if (At + 4 > Body.size())
      return std::nullopt;
    std::size_t Size = 0;
    for (int I = 0; I < 4; ++I)
      Size = Size << 8 | static_cast<unsigned char>(Body[At++]);
    if (Size == 0 || Size > MaxRecordBytes || At + Size > Body.size())
      return std::nullopt;
    Records.push_back(Body.substr(At, Size));
    At += Size;
    Total += Size;
  }
  if (Total > MaxCallBytes)
    return std::nullopt;
  return Records;
}

} // namespace

Store::Store(const std::vector<std::uint16_t> &Ports, Record &Log) : Log_(Log) {
  for (std::size_t I = 0; I < Ports.size(); ++I)
    HttpServer(Ports[I], [this, I](const HttpRequest &Request) {
      return handle(I, Request);
    });
}

void Store::publish(const std::string &Key, const std::string &Value) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Topics_["keyed.op"].Entries_.push_back({Key, Value});
  Changed_.notify_all();
}

void Store::setAnswerTime(milliseconds Time) {
  Log_.add("store", "answers take " + std::to_string(Time.count()) + " ms");
  std::lock_guard<std::mutex> Lock(Mutex_);
  AnswerTime_ = Time;
}

void Store::onAppended(std::function<void(const Appended &)> Function) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  OnAppended_ = std::move(Function);
}

std::optional<HttpResponse> Store::handle(std::size_t Source,
                                          const HttpRequest &Request) {
  HttpResponse Response = answer(404);
  if (Request.Path_ == "/log-append")
    Response = append(Source, Request);
  else if (Request.Path_ == "/log-read")
    Response = read(Request);
  else if (Request.Path_ == "/log-newest")
    Response = newest(Request);
  milliseconds Delay;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Delay = AnswerTime_;
  }
  std::this_thread::sleep_for(Delay);
  return Response;
}

HttpResponse Store::append(std::size_t Source, const HttpRequest &Request) {
  Appended Applied;
  Applied.Source_ = Source;
  Applied.Producer_ = text(Request, "producer");
  std::function<void(const Appended &)> Function;
  std::string Body;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Topic &Log = Topics_[text(Request, "topic")];
    Producer &Sender = Log.Producers_[Applied.Producer_];
    const std::int64_t Epoch = number(Request, "epoch");
    const std::int64_t Sequence = number(Request, "sequence");
    if (Epoch < Sender.Epoch_)
      return answer(409, {{"reason", "fenced"}});
    const auto Records = splitRecords(Request.Body_);
    if (!Records) {
      Log_.add("store", "refused an append of " + Applied.Producer_ + " of " +
                            std::to_string(Request.Body_.size()) +
                            " bytes as too large");
      return answer(400);
    }
    if (Epoch > Sender.Epoch_)
      Sender = {Epoch, Sequence, {}};
    for (const auto &[Known, Response] : Sender.Recent_)
      if (Known == Sequence)
        return {200, Response};
    if (Sequence != Sender.NextSequence_)
      return answer(409,
                    {{"reason", "seq"}, {"sequence", Sender.NextSequence_}});
    const std::size_t Offset = Log.Entries_.size();
    for (const std::string &Content : *Records) {
      const std::size_t KeySize = static_cast<unsigned char>(Content[0]);
      Applied.Keys_.push_back(Content.substr(1, KeySize));
      Log.Entries_.push_back(
          {Content.substr(1, KeySize),
           Content.substr(std::min(Content.size(), 1 + KeySize))});
    }
    Body = Json{{"offset", Offset}, {"end_offset", Log.Entries_.size()}}.dump();
    ++Sender.NextSequence_;
    Sender.Recent_.emplace_back(Sequence, Body);
    if (Sender.Recent_.size() > RetainedAppends)
      Sender.Recent_.pop_front();
    Function = OnAppended_;
    Changed_.notify_all();
  }
  std::string Keys;
  for (const std::string &Key : Applied.Keys_)
    Keys += " " + Key;
  Log_.add("store", "append of " + Applied.Producer_ + " from frontend-" +
                        std::to_string(Source) + ":" + Keys);
  if (Function)
    Function(Applied);
  return {200, Body};
}

HttpResponse Store::read(const HttpRequest &Request) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  Topic &Log = Topics_[text(Request, "topic")];
  const auto From = static_cast<std::size_t>(number(Request, "from"));
  Changed_.wait_for(Lock, milliseconds(number(Request, "wait_ms")),
                    [&] { return Log.Entries_.size() > From; });
  std::string Records;
  constexpr std::size_t MaxBytes = 1024 * 1024;
  for (std::size_t I = From; I < Log.Entries_.size(); ++I) {
    const Entry &Item = Log.Entries_[I];
    if (Records.size() + Item.Value_.size() > MaxBytes && I > From)
      break;
    Records += bigEndian(1 + Item.Key_.size() + Item.Value_.size(), 4) +
               bigEndian(Item.Key_.size(), 1) + Item.Key_ + Item.Value_;
  }
  return {200, bigEndian(Log.Entries_.size(), 8) + bigEndian(0, 8) + Records};
}

HttpResponse Store::newest(const HttpRequest &Request) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  const Topic &Log = Topics_[text(Request, "topic")];
  const std::string After = text(Request, "after");
  std::map<std::string, std::size_t> Newest;
  for (std::size_t I = 0; I < Log.Entries_.size(); ++I)
    Newest[Log.Entries_[I].Key_] = I;
  Json Items = Json::array();
  bool More = false;
  for (const auto &[Key, Offset] : Newest) {
    if (Key <= After || Log.Entries_[Offset].Value_.empty())
      continue;
    More = Items.size() == PageSize;
    if (More)
      break;
    Items.push_back({{"key", Key},
                     {"value", base64(Log.Entries_[Offset].Value_)},
                     {"offset", Offset}});
  }
  return answer(200, {{"items", Items},
                      {"has_more", More},
                      {"end_offset", Log.Entries_.size()}});
}

} // namespace review
