#include "nutmegwell/aio/link.h"
#include "loopimpl.h"
#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace nutmegwell::aio {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

/// Size in bytes of the big-endian frame length that precedes each frame.
constexpr std::size_t PrefixSize = 4;

/// Bytes of the first part of a frame. The announced length of a frame alone
/// allocates no more.
constexpr std::size_t FirstPartSize = 65536;
/// Bytes of the other parts. The allocator maps each of them, so that the
/// memory of a part is returned as soon as it has been copied into the frame.
constexpr std::size_t PartSize = 262144;

InputLimits inputLimits(const LinkLimits &Limits) {
  InputLimits Result;
  Result.MaxBytes_ = Limits.MaxIncomplete_;
  Result.MaxConnections_ = Limits.MaxAccepted_;
  return Result;
}

std::string withLengthPrefix(const std::string &Frame) {
  const auto Size = static_cast<std::uint32_t>(Frame.size());
  std::string Bytes;
  Bytes.reserve(PrefixSize + Frame.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Bytes.push_back(static_cast<char>(Size >> Shift));
  return Bytes + Frame;
}

} // namespace

struct Links::Impl : std::enable_shared_from_this<Links::Impl> {
  struct Connection;

  Impl(Loop &Owner, const LinkLimits &Bounds, LinkHandlers Functions,
       RefusalHandler OnRefused)
      : Context_(Owner.impl().Context_), Acceptor_(Context_),
        RetryTimer_(Context_), Limits_(Bounds), Handlers_(std::move(Functions)),
        Guard_(Owner, inputLimits(Bounds), std::move(OnRefused)) {}

  void accept();
  std::shared_ptr<Connection> addConnection(Tcp::socket Socket);
  /// Closes links until the queues are within their limit. \p Last has queued
  /// the latest frame.
  void trimQueues(const Connection &Last);

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  asio::steady_timer RetryTimer_;
  LinkLimits Limits_;
  LinkHandlers Handlers_;
  /// Limits the accepted links; a frame counts as a request.
  InputGuard Guard_;
  LinkId NextId_ = 1;
  std::map<LinkId, std::shared_ptr<Connection>> OpenLinks_;
  std::size_t QueuedBytes_ = 0;
};

struct Links::Impl::Connection
    : std::enable_shared_from_this<Links::Impl::Connection> {
  Connection(std::shared_ptr<Impl> Owner, LinkId Number, Tcp::socket Stream)
      : Owner_(std::move(Owner)), Id_(Number), Socket_(std::move(Stream)),
        Timer_(Owner_->Context_) {}

  void dial(const net::Address &Peer) {
    restartTimeout(Owner_->Limits_.ConnectTimeout_);
    Socket_.async_connect(endpointOf(Peer),
                          [Self = shared_from_this()](const Error &Failure) {
                            if (Failure)
                              return Self->close();
                            Self->onConnected();
                          });
  }

  void onAccepted() {
    GuardId_ =
        Owner_->Guard_.connect(peerOf(Socket_), [Weak = weak_from_this()] {
          if (const auto Self = Weak.lock())
            Self->close();
        });
    onConnected();
  }

  void onConnected() {
    if (Closed_)
      return;
    Connected_ = true;
    Error Ignored; // Without no_delay the link is only slower.
    Socket_.set_option(Tcp::no_delay(true), Ignored);
    restartTimeout(Owner_->Limits_.SilenceTimeout_);
    Owner_->Handlers_.Opened_(Id_);
    readLengthPrefix();
    write();
  }

  void readLengthPrefix() {
    asio::async_read(
        Socket_, asio::buffer(LengthPrefix_),
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          if (Failure)
            return Self->close();
          Self->readFrame();
        });
  }

  void readFrame() {
    std::size_t Size = 0;
    for (unsigned char Byte : LengthPrefix_)
      Size = Size << 8 | Byte;
    if (Size > Owner_->Limits_.MaxFrame_)
      return close();
    FrameSize_ = Size;
    ReceivedSize_ = 0;
    readPart();
  }

  /// Reads the next part of the frame, so that memory is allocated as the frame
  /// arrives and never copied while it is incomplete.
  void readPart() {
    if (ReceivedSize_ == FrameSize_)
      return onFrame();
    const std::size_t Size = std::min(
        FrameSize_ - ReceivedSize_, Parts_.empty() ? FirstPartSize : PartSize);
    // Before the allocation, so that others make room for it first.
    if (GuardId_)
      Owner_->Guard_.input(*GuardId_, ReceivedSize_ + PrefixSize,
                           ReceivedSize_ + Size);
    if (Closed_)
      return;
    Parts_.emplace_back(Size, '\0');
    PartReceived_ = 0;
    readIntoPart();
  }

  void readIntoPart() {
    std::string &Part = Parts_.back();
    Socket_.async_read_some(
        asio::buffer(Part.data() + PartReceived_, Part.size() - PartReceived_),
        [Self = shared_from_this()](const Error &Failure, std::size_t Read) {
          if (Failure)
            return Self->close();
          if (Self->Closed_)
            return;
          Self->onBytes(Read);
        });
  }

  void onBytes(std::size_t Read) {
    PartReceived_ += Read;
    ReceivedSize_ += Read;
    // A large frame can take longer than the time after which a link counts as
    // silent.
    restartTimeout(Owner_->Limits_.SilenceTimeout_);
    if (PartReceived_ < Parts_.back().size()) {
      noteProgress();
      return readIntoPart();
    }
    if (ReceivedSize_ < FrameSize_)
      noteProgress();
    readPart();
  }

  void noteProgress() {
    const auto Now = std::chrono::steady_clock::now();
    if (!Owner_->Handlers_.Progress_ ||
        Now - ProgressReportedAt_ < Links::ProgressInterval)
      return;
    ProgressReportedAt_ = Now;
    Owner_->Handlers_.Progress_(Id_);
  }

  void onFrame() {
    restartTimeout(Owner_->Limits_.SilenceTimeout_);
    std::string Frame = joinParts();
    if (GuardId_) {
      Owner_->Guard_.requestComplete(*GuardId_);
      Owner_->Guard_.responseSent(*GuardId_);
    }
    Owner_->Handlers_.Received_(Id_, std::move(Frame));
    if (!Closed_)
      readLengthPrefix();
  }

  /// Returns the received frame and releases its parts.
  std::string joinParts() {
    std::vector<std::string> Parts;
    Parts.swap(Parts_);
    if (Parts.size() == 1)
      return std::move(Parts.front());
    std::string Frame;
    Frame.reserve(FrameSize_);
    for (std::string &Part : Parts) {
      Frame += Part;
      // An assignment would keep the buffer.
      std::string().swap(Part);
    }
    return Frame;
  }

  void send(const std::string &Frame) {
    countQueued(Frame.size() + PrefixSize);
    if (QueuedBytes_ > Owner_->Limits_.MaxQueued_)
      return close();
    Queue_.push_back(withLengthPrefix(Frame));
    Owner_->trimQueues(*this);
    write();
  }

  void countQueued(std::size_t Size) {
    QueuedBytes_ += Size;
    Owner_->QueuedBytes_ += Size;
  }

  void uncountQueued(std::size_t Size) {
    QueuedBytes_ -= Size;
    Owner_->QueuedBytes_ -= Size;
  }

  void write() {
    if (Writing_ || !Connected_ || Closed_ || Queue_.empty())
      return;
    Writing_ = true;
    asio::async_write(
        Socket_, asio::buffer(Queue_.front()),
        [Self = shared_from_this()](const Error &Failure, std::size_t) {
          Self->Writing_ = false;
          if (Failure)
            return Self->close();
          if (Self->Closed_)
            return;
          Self->uncountQueued(Self->Queue_.front().size());
          Self->Queue_.pop_front();
          Self->write();
        });
  }

  /// Closes the link after \p Limit unless the timeout is restarted before.
  void restartTimeout(core::Duration Limit) {
    Timer_.expires_after(Limit);
    Timer_.async_wait([Self = shared_from_this()](const Error &Failure) {
      if (!Failure)
        Self->close();
    });
  }

  void close() {
    if (Closed_)
      return;
    closeWithoutNotice();
    Owner_->OpenLinks_.erase(Id_);
    Owner_->Handlers_.Closed_(Id_);
  }

  /// Closes the link without calling Closed_.
  void closeWithoutNotice() {
    Closed_ = true;
    uncountQueued(QueuedBytes_);
    if (GuardId_)
      Owner_->Guard_.disconnect(*GuardId_);
    Error Ignored; // The socket is not used again in either case.
    Socket_.close(Ignored);
    Timer_.cancel();
  }

  std::shared_ptr<Impl> Owner_;
  LinkId Id_;
  Tcp::socket Socket_;
  asio::steady_timer Timer_;
  std::array<unsigned char, PrefixSize> LengthPrefix_{};
  std::size_t FrameSize_ = 0;
  std::size_t ReceivedSize_ = 0;
  std::vector<std::string> Parts_;
  /// Bytes of the last part that have arrived.
  std::size_t PartReceived_ = 0;
  std::chrono::steady_clock::time_point ProgressReportedAt_{};
  /// Set for accepted links.
  std::optional<InputId> GuardId_;
  std::deque<std::string> Queue_;
  std::size_t QueuedBytes_ = 0;
  bool Connected_ = false;
  bool Writing_ = false;
  bool Closed_ = false;
};

std::shared_ptr<Links::Impl::Connection>
Links::Impl::addConnection(Tcp::socket Socket) {
  const LinkId Id = NextId_++;
  auto NewLink =
      std::make_shared<Connection>(shared_from_this(), Id, std::move(Socket));
  OpenLinks_[Id] = NewLink;
  return NewLink;
}

void Links::Impl::trimQueues(const Connection &Last) {
  while (QueuedBytes_ > Limits_.MaxQueuedTotal_) {
    std::shared_ptr<Connection> Longest;
    for (const auto &[Id, Link] : OpenLinks_) {
      const bool OnlyFrame = Link.get() == &Last && Link->Queue_.size() == 1;
      if (!OnlyFrame && Link->QueuedBytes_ > 0 &&
          (!Longest || Link->QueuedBytes_ > Longest->QueuedBytes_))
        Longest = Link;
    }
    if (!Longest)
      return;
    Guard_.refused(InputRefusal::Budget, peerOf(Longest->Socket_));
    Longest->close();
  }
}

void Links::Impl::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](const Error &Failure, Tcp::socket Socket) {
        if (Failure == asio::error::operation_aborted)
          return;
        if (Failure)
          return retryLater(Self->RetryTimer_, [Self] { Self->accept(); });
        Self->addConnection(std::move(Socket))->onAccepted();
        Self->accept();
      });
}

Links::Links(Loop &Owner, const LinkLimits &Limits, LinkHandlers Handlers,
             RefusalHandler OnRefused)
    : Impl_(std::make_shared<Impl>(Owner, Limits, std::move(Handlers),
                                   std::move(OnRefused))) {}

Links::~Links() {
  Error Ignored; // The process is ending.
  Impl_->Acceptor_.close(Ignored);
  Impl_->RetryTimer_.cancel();
  for (const auto &[Id, Link] : Impl_->OpenLinks_)
    Link->closeWithoutNotice();
  Impl_->OpenLinks_.clear();
}

std::uint16_t Links::listen(const net::Address &Listen) {
  const Tcp::endpoint Endpoint = endpointOf(Listen);
  Impl_->Acceptor_.open(Endpoint.protocol());
  Impl_->Acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  Impl_->Acceptor_.bind(Endpoint);
  Impl_->Acceptor_.listen();
  Impl_->accept();
  return Impl_->Acceptor_.local_endpoint().port();
}

LinkId Links::dial(const net::Address &Peer) {
  auto NewLink = Impl_->addConnection(Tcp::socket(Impl_->Context_));
  NewLink->dial(Peer);
  return NewLink->Id_;
}

void Links::send(LinkId Id, std::string Frame) {
  auto It = Impl_->OpenLinks_.find(Id);
  if (It != Impl_->OpenLinks_.end())
    It->second->send(Frame);
}

void Links::close(LinkId Id) {
  auto It = Impl_->OpenLinks_.find(Id);
  if (It != Impl_->OpenLinks_.end()) {
    auto KeptAlive = It->second;
    KeptAlive->close();
  }
}

} // namespace nutmegwell::aio
