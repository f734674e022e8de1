#pragma once

#include <cstddef>
#include <cstdint>

namespace pomeloloft::sidecar {

/// Messages to other sidecars and the bytes of their bodies, both ways.
struct message_counter {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    void record(std::size_t body_bytes)
    {
        ++this->messages;
        this->bytes += body_bytes;
    }
};

/// Messages by purpose, and by whether they stay in the data centre. The sender counts them.
struct control_counters {
    message_counter members_local;
    message_counter members_remote;
    message_counter config_local;
    message_counter config_remote;
    message_counter requests_local;
    message_counter requests_remote;
    message_counter quotas_local;
    message_counter quotas_remote;

    void record_members(bool remote, std::size_t body_bytes)
    {
        (remote ? this->members_remote : this->members_local).record(body_bytes);
    }
    void record_config(bool remote, std::size_t body_bytes)
    {
        (remote ? this->config_remote : this->config_local).record(body_bytes);
    }
    void record_quotas(bool remote, std::size_t body_bytes)
    {
        (remote ? this->quotas_remote : this->quotas_local).record(body_bytes);
    }
    void record_request(bool remote, std::size_t body_bytes)
    {
        (remote ? this->requests_remote : this->requests_local).record(body_bytes);
    }
};

} // namespace pomeloloft::sidecar
