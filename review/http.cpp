#include "http.h"
#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Returns a socket that is bound to a port, or -1.
int bindTo(std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = loopback(Port);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

int listenOn(std::uint16_t Port) {
  const int Socket = bindTo(Port);
  if (Socket < 0 || listen(Socket, SOMAXCONN) != 0)
    throw std::runtime_error("cannot listen on port " + std::to_string(Port));
  return Socket;
}

int connectTo(std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) == 0) {
    const int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    return Socket;
  }
  close(Socket);
  return -1;
}

bool sendAll(int Socket, const std::string &Bytes) {
  for (std::size_t Sent = 0; Sent < Bytes.size();) {
    const ssize_t Count =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

/// Start line, headers and body of a request or response.
struct Message {
  std::string StartLine_;
  std::map<std::string, std::string> Headers_;
  std::string Body_;
};

/// Reads messages from a socket one after the other.
class MessageReader {
public:
  explicit MessageReader(int Socket) : Socket_(Socket) {}

  std::optional<Message> next() {
    const std::string HeaderEnd = "\r\n\r\n";
    while (Buffer_.find(HeaderEnd) == std::string::npos)
      if (!receive())
        return std::nullopt;
    const std::size_t End = Buffer_.find(HeaderEnd);
    Message Result;
    std::istringstream Lines(Buffer_.substr(0, End + 2));
    std::string Line;
    while (std::getline(Lines, Line)) {
      Line = Line.substr(0, Line.find('\r'));
      const std::size_t Colon = Line.find(": ");
      if (Result.StartLine_.empty())
        Result.StartLine_ = Line;
      else if (Colon != std::string::npos)
        Result.Headers_[lowerCase(Line.substr(0, Colon))] =
            Line.substr(Colon + 2);
    }
    const std::string Length = Result.Headers_["content-length"];
    const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
    Buffer_.erase(0, End + HeaderEnd.size());
    while (Buffer_.size() < Size)
      if (!receive())
        return std::nullopt;
    Result.Body_ = Buffer_.substr(0, Size);
    Buffer_.erase(0, Size);
    return Result;
  }

private:
  bool receive() {
    char Bytes[65536];
    const ssize_t Count = recv(Socket_, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer_.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  int Socket_;
  std::string Buffer_;
};

std::string percentDecode(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I)
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result +=
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  return Result;
}

HttpRequest toRequest(const Message &Received) {
  HttpRequest Request;
  std::istringstream Line(Received.StartLine_);
  std::string Target;
  Line >> Request.Method_ >> Target;
  const std::size_t Mark = Target.find('?');
  Request.Path_ = Target.substr(0, Mark);
  if (Mark != std::string::npos) {
    std::istringstream Parameters(Target.substr(Mark + 1));
    std::string Parameter;
    while (std::getline(Parameters, Parameter, '&')) {
      const std::size_t Equals = Parameter.find('=');
      Request.Query_[Parameter.substr(0, Equals)] =
          percentDecode(Parameter.substr(Equals + 1));
    }
  }
  Request.Headers_ = Received.Headers_;
  Request.Body_ = Received.Body_;
  return Request;
}

void serveConnection(int Socket, const HttpHandler &Handler) {
  MessageReader Reader(Socket);
  while (auto Received = Reader.next()) {
    const auto Response = Handler(toRequest(*Received));
    if (!Response) {
      char Discarded[4096];
      while (recv(Socket, Discarded, sizeof(Discarded), 0) > 0)
        continue;
      break;
    }
    if (!sendAll(Socket, "HTTP/1.1 " + std::to_string(Response->Status_) +
                             " -\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(Response->Body_.size()) +
                             "\r\n\r\n" + Response->Body_))
      break;
  }
  close(Socket);
}

} // namespace

HttpServer::HttpServer(std::uint16_t Port, HttpHandler Handler) {
  const int Listener = listenOn(Port);
  std::thread([Listener, Handler = std::move(Handler)] {
    for (;;) {
      const int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        continue;
      const int On = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([Socket, Handler] {
        serveConnection(Socket, Handler);
      }).detach();
    }
  }).detach();
}

std::optional<HttpResponse> sendRequest(std::uint16_t Port,
                                        const HttpRequest &Request,
                                        std::chrono::milliseconds Timeout) {
  const int Socket = connectTo(Port);
  if (Socket < 0)
    return std::nullopt;
  timeval Limit{};
  Limit.tv_sec = Timeout.count() / 1000;
  Limit.tv_usec = Timeout.count() % 1000 * 1000;
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  std::string Text = Request.Method_ + " " + Request.Path_ + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Request.Headers_)
    Text += Name + ": " + Value + "\r\n";
  Text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(Request.Body_.size()) + "\r\n\r\n" + Request.Body_;
  std::optional<HttpResponse> Result;
  MessageReader Reader(Socket);
  if (sendAll(Socket, Text))
    if (auto Received = Reader.next()) {
      std::istringstream Line(Received->StartLine_);
      std::string Version;
      Result.emplace();
      Line >> Version >> Result->Status_;
      Result->Body_ = Received->Body_;
    }
  close(Socket);
  return Result;
}

std::uint16_t reservePort() {
  // Below the ports that the system uses for outgoing connections.
  constexpr unsigned First = 20000;
  constexpr unsigned Count = 10000;
  static std::atomic<unsigned> Next{static_cast<unsigned>(getpid()) * 64};
  for (unsigned I = 0; I < Count; ++I) {
    const auto Port = static_cast<std::uint16_t>(First + Next++ % Count);
    const int Socket = bindTo(Port);
    if (Socket < 0)
      continue;
    close(Socket);
    return Port;
  }
  throw std::runtime_error("no free port");
}

struct Proxy::State {
  std::uint16_t Target_;
  std::atomic<bool> Cut_{false};

  /// Moves bytes from one socket to the other; returns false at its end.
  static bool forward(int From, int To) {
    char Bytes[65536];
    const ssize_t Count = recv(From, Bytes, sizeof(Bytes), 0);
    return Count > 0 &&
           sendAll(To, std::string(Bytes, static_cast<std::size_t>(Count)));
  }

  void waitWhileCut() const {
    while (Cut_)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  void serve(int Client) const {
    waitWhileCut();
    const int Server = connectTo(Target_);
    pollfd Ends[] = {{Client, POLLIN, 0}, {Server, POLLIN, 0}};
    bool Open = Server >= 0;
    while (Open) {
      if (poll(Ends, 2, 5) <= 0)
        continue;
      waitWhileCut();
      if (Ends[0].revents != 0)
        Open = forward(Client, Server);
      if (Open && Ends[1].revents != 0)
        Open = forward(Server, Client);
    }
    close(Client);
    if (Server >= 0)
      close(Server);
  }
};

Proxy::Proxy(std::uint16_t Target)
    : Port_(reservePort()), State_(new State{Target}) {
  const int Listener = listenOn(Port_);
  std::thread([Listener, State = State_] {
    for (;;) {
      const int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket >= 0)
        std::thread([Socket, State] { State->serve(Socket); }).detach();
    }
  }).detach();
}

void Proxy::setCut(bool Cut) { State_->Cut_ = Cut; }

} // namespace review
