#include "transport/peer_service.hpp"

#include "peer.grpc.pb.h"
#include "protocol/text_file.hpp"

#include <auburnchute/error.hpp>

#include <chrono>

#include <grpcpp/grpcpp.h>

#include <utility>

namespace auburnchute {

namespace {

/// Reconnects quickly: a peer that restarts is back within a second.
constexpr int max_reconnect_backoff_ms = 500;

std::shared_ptr<grpc::ServerCredentials> server_credentials(peer_security const& security)
{
    if (security.certificate_.empty()) {
        return grpc::InsecureServerCredentials();
    }
    grpc::SslServerCredentialsOptions options{GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY};
    options.pem_root_certs = read_file(security.authority_);
    options.pem_key_cert_pairs.push_back(
        {read_file(security.private_key_), read_file(security.certificate_)});
    return grpc::SslServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> client_credentials(peer_security const& security)
{
    if (security.certificate_.empty()) {
        return grpc::InsecureChannelCredentials();
    }
    return grpc::SslCredentials(
        {read_file(security.authority_), read_file(security.private_key_), read_file(security.certificate_)});
}

class service final : public peer::v1::Peer::Service {
public:
    explicit service(peer_handlers handlers) : handlers_{std::move(handlers)} {}

    grpc::Status Heartbeat(grpc::ServerContext*, peer::v1::HeartbeatRequest const* request,
                           peer::v1::HeartbeatReply* reply) override
    {
        *reply = handlers_.heartbeat_(*request);
        return grpc::Status::OK;
    }

    grpc::Status Borrow(grpc::ServerContext*, peer::v1::BorrowRequest const* request,
                        peer::v1::BorrowReply* reply) override
    {
        *reply = handlers_.borrow_(*request);
        return grpc::Status::OK;
    }

    grpc::Status Return(grpc::ServerContext*, peer::v1::ReturnRequest const* request,
                        peer::v1::ReturnReply*) override
    {
        handlers_.give_back_(*request);
        return grpc::Status::OK;
    }

    grpc::Status Demand(grpc::ServerContext*, peer::v1::DemandRequest const* request,
                        peer::v1::DemandReply*) override
    {
        handlers_.demand_(*request);
        return grpc::Status::OK;
    }

    grpc::Status FetchRecords(grpc::ServerContext*, peer::v1::FetchRequest const* request,
                              peer::v1::FetchReply* reply) override
    {
        *reply = handlers_.fetch_(*request);
        return grpc::Status::OK;
    }

private:
    peer_handlers handlers_;
};

void set_deadline(grpc::ClientContext& context, millis limit)
{
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds{limit.count_});
}

} // namespace

struct peer_server::implementation {
    explicit implementation(peer_handlers handlers) : service_{std::move(handlers)} {}

    service service_;
    std::unique_ptr<grpc::Server> server_;
    int port_{};
};

peer_server::peer_server(std::string const& address, peer_security const& security, peer_handlers handlers)
    : implementation_{std::make_unique<implementation>(std::move(handlers))}
{
    grpc::ServerBuilder builder;
    // Without this, two processes can bind the same port and the proof of `member_joined` fails.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, server_credentials(security), &implementation_->port_);
    builder.RegisterService(&implementation_->service_);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MAX_POLLERS, 4);
    implementation_->server_ = builder.BuildAndStart();
    if (!implementation_->server_ || implementation_->port_ == 0) {
        throw error{"listen", address, "the address for peers cannot be bound"};
    }
}

peer_server::~peer_server()
{
    stop();
}

int peer_server::port() const noexcept
{
    return implementation_->port_;
}

void peer_server::stop()
{
    implementation_->server_->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds{200});
}

struct peer_client::implementation {
    std::unique_ptr<peer::v1::Peer::Stub> stub_;
};

peer_client::peer_client(std::string const& address, peer_security const& security)
    : implementation_{std::make_unique<implementation>()}
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    implementation_->stub_ =
        peer::v1::Peer::NewStub(grpc::CreateCustomChannel(address, client_credentials(security), arguments));
}

peer_client::~peer_client() = default;

std::optional<peer::v1::HeartbeatReply> peer_client::heartbeat(peer::v1::HeartbeatRequest const& request,
                                                               millis limit) const
{
    grpc::ClientContext context;
    set_deadline(context, limit);
    peer::v1::HeartbeatReply reply;
    if (!implementation_->stub_->Heartbeat(&context, request, &reply).ok()) {
        return std::nullopt;
    }
    return reply;
}

std::optional<peer::v1::BorrowReply> peer_client::borrow(peer::v1::BorrowRequest const& request,
                                                         millis limit) const
{
    grpc::ClientContext context;
    set_deadline(context, limit);
    peer::v1::BorrowReply reply;
    if (!implementation_->stub_->Borrow(&context, request, &reply).ok()) {
        return std::nullopt;
    }
    return reply;
}

bool peer_client::give_back(peer::v1::ReturnRequest const& request, millis limit) const
{
    grpc::ClientContext context;
    set_deadline(context, limit);
    peer::v1::ReturnReply reply;
    return implementation_->stub_->Return(&context, request, &reply).ok();
}

bool peer_client::demand(peer::v1::DemandRequest const& request, millis limit) const
{
    grpc::ClientContext context;
    set_deadline(context, limit);
    peer::v1::DemandReply reply;
    return implementation_->stub_->Demand(&context, request, &reply).ok();
}

std::optional<peer::v1::FetchReply> peer_client::fetch(peer::v1::FetchRequest const& request,
                                                       millis limit) const
{
    grpc::ClientContext context;
    set_deadline(context, limit);
    peer::v1::FetchReply reply;
    if (!implementation_->stub_->FetchRecords(&context, request, &reply).ok()) {
        return std::nullopt;
    }
    return reply;
}

member_id from_message(peer::v1::Member const& message)
{
    return {message.vm(), message.incarnation()};
}

void to_message(member_id const& member, peer::v1::Member& message)
{
    message.set_vm(member.vm_);
    message.set_incarnation(member.incarnation_);
}

} // namespace auburnchute
