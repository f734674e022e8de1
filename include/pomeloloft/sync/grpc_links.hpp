#pragma once

#include <memory>
#include <string>

#include "pomeloloft/base/error.hpp"
#include "pomeloloft/sync/link_hub.hpp"

namespace pomeloloft {

/// Transports the hub's links over gRPC: accepts inbound streams and opens outbound ones.
class grpc_links {
public:
    /// Listens on `address` (`host:port`).
    /// @return `unavailable` when the address cannot be bound.
    static result<std::unique_ptr<grpc_links>> listen(link_hub& hub, const std::string& address);

    grpc_links(const grpc_links&) = delete;
    grpc_links& operator=(const grpc_links&) = delete;
    virtual ~grpc_links() = default;

    /// Opens a link to another node. The hub lists it at once and removes it when the stream ends.
    /// @param remote_node name of the node expected at `address`; empty when unknown.
    virtual void dial(const std::string& address, link_kind kind, const std::string& remote_node) = 0;

    /// Stops listening, cancels all streams and waits until they have ended.
    virtual void stop() = 0;

protected:
    grpc_links() = default;
};

} // namespace pomeloloft
