#include "http.h"
#include <arpa/inet.h>
#include <cctype>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace testbed {

namespace {

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

bool sendAll(int Socket, const std::string &Bytes) {
  for (std::size_t Sent = 0; Sent < Bytes.size();) {
    const ssize_t Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Adds what arrives until \p Deadline to \p Buffer. Returns false at the end
/// of the input and at the deadline.
bool receiveMore(int Socket, std::string &Buffer, Clock::time_point Deadline) {
  const auto Left =
      std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
  pollfd Watched{Socket, POLLIN, 0};
  if (Left.count() <= 0 ||
      ::poll(&Watched, 1, static_cast<int>(Left.count())) <= 0)
    return false;
  char Bytes[65536];
  const ssize_t Count = ::recv(Socket, Bytes, sizeof(Bytes), 0);
  if (Count <= 0)
    return false;
  Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

std::string toLower(std::string Text) {
  for (char &Letter : Text)
    Letter =
        static_cast<char>(std::tolower(static_cast<unsigned char>(Letter)));
  return Text;
}

struct RawMessage {
  std::string StartLine_;
  std::map<std::string, std::string> Headers_;
  std::string Body_;
};

/// Takes one message from the front of \p Buffer and reads the rest of it.
std::optional<RawMessage> receiveMessage(int Socket, std::string &Buffer,
                                         Clock::time_point Deadline) {
  std::size_t HeaderEnd;
  while ((HeaderEnd = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!receiveMore(Socket, Buffer, Deadline))
      return std::nullopt;
  RawMessage Message;
  std::size_t At = Buffer.find("\r\n");
  Message.StartLine_ = Buffer.substr(0, At);
  while (At < HeaderEnd) {
    const std::size_t Begin = At + 2;
    At = Buffer.find("\r\n", Begin);
    const std::string Line = Buffer.substr(Begin, At - Begin);
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Message.Headers_[toLower(Line.substr(0, Colon))] =
        Value == std::string::npos ? "" : Line.substr(Value);
  }
  Buffer.erase(0, HeaderEnd + 4);
  const auto Length = Message.Headers_.find("content-length");
  const std::size_t Size =
      Length == Message.Headers_.end() ? 0 : std::stoul(Length->second);
  while (Buffer.size() < Size)
    if (!receiveMore(Socket, Buffer, Deadline))
      return std::nullopt;
  Message.Body_ = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return Message;
}

std::string percentDecode(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result +=
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  }
  return Result;
}

Request toRequest(RawMessage Message) {
  Request Result;
  const std::string &Line = Message.StartLine_;
  const std::size_t First = Line.find(' ');
  const std::size_t Last = Line.rfind(' ');
  Result.Method_ = Line.substr(0, First);
  std::string Target = Line.substr(First + 1, Last - First - 1);
  const std::size_t Mark = Target.find('?');
  Result.Path_ = Target.substr(0, Mark);
  std::string Rest = Mark == std::string::npos ? "" : Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::size_t End = Rest.find('&');
    const std::string Pair = Rest.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos)
      Result.Query_[Pair.substr(0, Equals)] =
          percentDecode(Pair.substr(Equals + 1));
    Rest = End == std::string::npos ? "" : Rest.substr(End + 1);
  }
  Result.Headers_ = std::move(Message.Headers_);
  Result.Body_ = std::move(Message.Body_);
  return Result;
}

} // namespace

std::string Request::query(const std::string &Name) const {
  const auto Found = Query_.find(Name);
  return Found == Query_.end() ? "" : Found->second;
}

std::string Request::header(const std::string &Name) const {
  const auto Found = Headers_.find(Name);
  return Found == Headers_.end() ? "" : Found->second;
}

Server::Server(Handler Function) : Handler_(std::move(Function)) {
  Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(0);
  socklen_t Size = sizeof(Address);
  if (::bind(Listener_, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      ::listen(Listener_, 512) != 0 ||
      ::getsockname(Listener_, reinterpret_cast<sockaddr *>(&Address), &Size) !=
          0)
    throw std::runtime_error("cannot listen on 127.0.0.1");
  Port_ = ntohs(Address.sin_port);
  Acceptor_ = std::thread([this] { accept(); });
}

Server::~Server() {
  Closing_ = true;
  ::shutdown(Listener_, SHUT_RDWR);
  Acceptor_.join();
  ::close(Listener_);
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    for (int Socket : Sockets_)
      ::shutdown(Socket, SHUT_RDWR);
  }
  for (std::thread &Thread : Threads_)
    Thread.join();
}

void Server::accept() {
  while (!Closing_) {
    const int Socket = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    std::lock_guard<std::mutex> Lock(Mutex_);
    Sockets_.insert(Socket);
    Threads_.emplace_back([this, Socket] { serve(Socket); });
  }
}

void Server::serve(int Socket) {
  constexpr auto MaxIdle = std::chrono::minutes(10);
  std::string Buffer;
  while (auto Message =
             receiveMessage(Socket, Buffer, Clock::now() + MaxIdle)) {
    const std::optional<Response> Answer =
        Handler_(toRequest(*std::move(Message)));
    if (!Answer) {
      while (receiveMore(Socket, Buffer, Clock::now() + MaxIdle))
        Buffer.clear();
      break;
    }
    std::string Text =
        "HTTP/1.1 " + std::to_string(Answer->Status_) +
        " X\r\nContent-Type: " + Answer->ContentType_ +
        "\r\nContent-Length: " + std::to_string(Answer->Body_.size()) +
        "\r\n\r\n";
    if (!sendAll(Socket, Text + Answer->Body_))
      break;
  }
  std::lock_guard<std::mutex> Lock(Mutex_);
  Sockets_.erase(Socket);
  ::close(Socket);
}

std::optional<Response> call(int Port, const Request &Message,
                             Milliseconds Timeout) {
  const Clock::time_point Deadline = Clock::now() + Timeout;
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  std::optional<Response> Result;
  std::string Text = Message.Method_ + " " + Message.Path_ + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Message.Headers_)
    Text += Name + ": " + Value + "\r\n";
  Text += "Connection: close\r\nContent-Length: " +
          std::to_string(Message.Body_.size()) + "\r\n\r\n" + Message.Body_;
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0 &&
      sendAll(Socket, Text)) {
    std::string Buffer;
    if (auto Answer = receiveMessage(Socket, Buffer, Deadline)) {
      Result.emplace();
      Result->Status_ = std::stoi(Answer->StartLine_.substr(9, 3));
      Result->Body_ = std::move(Answer->Body_);
    }
  }
  ::close(Socket);
  return Result;
}

int freePort() {
  // Below the ports from which the kernel takes those of outgoing connections.
  constexpr int FirstPort = 20000;
  constexpr int PortCount = 10000;
  static std::atomic<int> Next{
      static_cast<int>(std::random_device()() % PortCount)};
  for (int Tries = 0; Tries < PortCount; ++Tries) {
    const int Port = FirstPort + Next++ % PortCount;
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in Address = loopback(Port);
    const bool Free =
        ::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
               sizeof(Address)) == 0;
    ::close(Socket);
    if (Free)
      return Port;
  }
  throw std::runtime_error("no free port");
}

} // namespace testbed
