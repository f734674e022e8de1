#include "pomeloloft/sync/grpc_links.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <grpcpp/grpcpp.h>

#include "distribution.grpc.pb.h"

namespace pomeloloft {
namespace {

constexpr int max_message_bytes = 4 << 20;

/// Connects one gRPC stream with one link of the hub. At most one read and one write are in progress.
template <typename Reactor>
class stream_driver {
public:
    stream_driver(link_hub& owner, Reactor& stream) : hub(owner), reactor(stream) {}

    void attach(std::uint64_t id)
    {
        const std::lock_guard lock(this->mutex);
        this->link_id = id;
    }

    [[nodiscard]] std::uint64_t id() const { return this->link_id; }

    /// Starts a write when none is in progress and the link has a frame to send.
    void start_next_write()
    {
        const std::lock_guard lock(this->mutex);
        if (this->writing || this->write_failed || this->ended) {
            return;
        }
        auto frame = this->hub.next_to_send(this->link_id);
        if (!frame) {
            return;
        }
        this->outgoing = std::move(*frame);
        this->writing = true;
        this->reactor.StartWrite(&this->outgoing);
    }

    void write_done(bool ok)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->writing = false;
            // A failed write does not set `ended`: only `mark_ended` may, because its first caller must
            // finish the stream.
            this->write_failed = this->write_failed || !ok;
        }
        this->start_next_write();
    }

    /// Passes the frame just read to the hub.
    /// @return whether to continue reading.
    bool read_done(bool ok) { return ok && this->hub.receive(this->link_id, this->incoming); }

    /// Prevents further writes.
    /// @return whether this call was the first.
    bool mark_ended()
    {
        const std::lock_guard lock(this->mutex);
        return !std::exchange(this->ended, true);
    }

    wire::Frame incoming;

private:
    link_hub& hub;
    Reactor& reactor;
    std::uint64_t link_id = 0;
    std::mutex mutex;
    bool writing = false;
    bool write_failed = false;
    bool ended = false;
    wire::Frame outgoing;
};

/// Counts active streams so that `stop` can wait for them. Ended streams are kept until the next one starts
/// or until `stop`, because the last gRPC object must not be destroyed on one of gRPC's own threads.
class stream_registry {
public:
    void add()
    {
        std::vector<std::shared_ptr<void>> released;
        const std::lock_guard lock(this->mutex);
        ++this->active_count;
        released.swap(this->finished);
    }

    void remove(std::shared_ptr<void> stream)
    {
        const std::lock_guard lock(this->mutex);
        --this->active_count;
        this->finished.push_back(std::move(stream));
        this->changed.notify_all();
    }

    void wait_until_empty()
    {
        std::vector<std::shared_ptr<void>> released;
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, [this] { return this->active_count == 0; });
        released.swap(this->finished);
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    int active_count = 0;
    std::vector<std::shared_ptr<void>> finished;
};

class inbound_stream : public grpc::ServerBidiReactor<wire::Frame, wire::Frame>,
                       public std::enable_shared_from_this<inbound_stream> {
public:
    inbound_stream(link_hub& owner, grpc::CallbackServerContext& server_context, stream_registry& registry)
        : hub(owner), context(server_context), streams(registry), driver(owner, *this)
    {}

    void start()
    {
        this->self = this->shared_from_this();
        this->streams.add();
        const std::weak_ptr<inbound_stream> weak = this->self;
        link_request request;
        request.inbound = true;
        request.transport.wake = [weak] {
            call_if_alive(weak, [](inbound_stream& s) { s.driver.start_next_write(); });
        };
        request.transport.cancel = [weak] {
            call_if_alive(weak, [](inbound_stream& s) { s.finish("lease lapsed"); });
        };
        this->driver.attach(this->hub.open(std::move(request)));
        this->StartRead(&this->driver.incoming);
        this->driver.start_next_write();
    }

    void OnReadDone(bool ok) override
    {
        if (!this->driver.read_done(ok)) {
            this->finish(ok ? "bad frame" : "remote closed");
            return;
        }
        this->StartRead(&this->driver.incoming);
    }

    void OnWriteDone(bool ok) override { this->driver.write_done(ok); }

    void OnCancel() override { this->finish("cancelled"); }

    void OnDone() override
    {
        this->hub.close(this->driver.id(), "stream done");
        this->streams.remove(std::move(this->self));
    }

private:
    template <typename Call>
    static void call_if_alive(const std::weak_ptr<inbound_stream>& weak, Call call)
    {
        if (const auto stream = weak.lock()) {
            call(*stream);
        }
    }

    void finish(const std::string& reason)
    {
        if (this->driver.mark_ended()) {
            // The context is used before `Finish`: after it, the stream may end and the context be destroyed
            // at any moment.
            this->context.TryCancel();
            this->Finish(grpc::Status(grpc::StatusCode::ABORTED, reason));
        }
    }

    link_hub& hub;
    grpc::CallbackServerContext& context;
    stream_registry& streams;
    stream_driver<inbound_stream> driver;
    std::shared_ptr<inbound_stream> self;
};

class outbound_stream : public grpc::ClientBidiReactor<wire::Frame, wire::Frame>,
                        public std::enable_shared_from_this<outbound_stream> {
public:
    outbound_stream(link_hub& owner, std::shared_ptr<grpc::Channel> connection, stream_registry& registry)
        : hub(owner), channel(std::move(connection)), stub(wire::Distribution::NewStub(this->channel)),
          streams(registry), driver(owner, *this)
    {}

    void start(const std::string& address, link_kind kind, const std::string& remote_node)
    {
        this->self = this->shared_from_this();
        this->streams.add();
        const std::weak_ptr<outbound_stream> weak = this->self;
        link_request request;
        request.kind = kind;
        request.remote_node = remote_node;
        request.address = address;
        request.transport.wake = [weak] {
            call_if_alive(weak, [](outbound_stream& s) { s.driver.start_next_write(); });
        };
        request.transport.cancel = [weak] { call_if_alive(weak, [](outbound_stream& s) { s.cancel(); }); };
        // The call is bound to this reactor before the hub knows the link: once it does, any thread may start
        // a write outside this reactor's own callbacks, which is why the reactor also takes a hold.
        this->stub->async()->Link(&this->context, this);
        this->AddHold();
        this->driver.attach(this->hub.open(std::move(request)));
        this->StartRead(&this->driver.incoming);
        this->StartCall();
        this->driver.start_next_write();
    }

    void OnReadDone(bool ok) override
    {
        if (!this->driver.read_done(ok)) {
            this->cancel();
            return;
        }
        this->StartRead(&this->driver.incoming);
    }

    void OnWriteDone(bool ok) override { this->driver.write_done(ok); }

    void OnDone(const grpc::Status& status) override
    {
        this->hub.close(this->driver.id(), status.error_message());
        this->streams.remove(std::move(this->self));
    }

private:
    template <typename Call>
    static void call_if_alive(const std::weak_ptr<outbound_stream>& weak, Call call)
    {
        if (const auto stream = weak.lock()) {
            call(*stream);
        }
    }

    void cancel()
    {
        if (this->driver.mark_ended()) {
            this->context.TryCancel();
            this->RemoveHold();
        }
    }

    link_hub& hub;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<wire::Distribution::Stub> stub;
    stream_registry& streams;
    grpc::ClientContext context;
    stream_driver<outbound_stream> driver;
    std::shared_ptr<outbound_stream> self;
};

class link_service : public wire::Distribution::CallbackService {
public:
    link_service(link_hub& owner, stream_registry& registry) : hub(owner), streams(registry) {}

    grpc::ServerBidiReactor<wire::Frame, wire::Frame>* Link(grpc::CallbackServerContext* context) override
    {
        const auto stream = std::make_shared<inbound_stream>(this->hub, *context, this->streams);
        stream->start();
        return stream.get();
    }

private:
    link_hub& hub;
    stream_registry& streams;
};

grpc::ChannelArguments dial_arguments()
{
    grpc::ChannelArguments arguments;
    // A channel serves one stream only. The user of `grpc_links` decides when and where to reconnect.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    return arguments;
}

class grpc_links_impl : public grpc_links {
public:
    explicit grpc_links_impl(link_hub& owner) : hub(owner), service(owner, this->streams) {}

    ~grpc_links_impl() override { this->grpc_links_impl::stop(); }

    bool start(const std::string& address)
    {
        int bound_port = 0;
        grpc::ServerBuilder builder;
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.SetMaxReceiveMessageSize(max_message_bytes);
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &bound_port);
        builder.RegisterService(&this->service);
        this->server = builder.BuildAndStart();
        return this->server != nullptr && bound_port != 0;
    }

    void dial(const std::string& address, link_kind kind, const std::string& remote_node) override
    {
        if (this->stopped) {
            return;
        }
        auto channel =
            grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), dial_arguments());
        std::make_shared<outbound_stream>(this->hub, std::move(channel), this->streams)
            ->start(address, kind, remote_node);
    }

    void stop() override
    {
        if (this->stopped.exchange(true)) {
            return;
        }
        this->hub.cancel_if([](const link_summary&) { return true; });
        if (this->server) {
            this->server->Shutdown(std::chrono::system_clock::now());
            this->server->Wait();
        }
        this->streams.wait_until_empty();
    }

private:
    link_hub& hub;
    stream_registry streams;
    link_service service;
    std::unique_ptr<grpc::Server> server;
    std::atomic<bool> stopped{false};
};

} // namespace

result<std::unique_ptr<grpc_links>> grpc_links::listen(link_hub& hub, const std::string& address)
{
    auto links = std::make_unique<grpc_links_impl>(hub);
    if (!links->start(address)) {
        return error{error_code::unavailable, "control-address", "cannot listen on " + address};
    }
    return std::unique_ptr<grpc_links>(std::move(links));
}

} // namespace pomeloloft
