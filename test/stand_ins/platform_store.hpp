#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pomeloloft/net/server.hpp"

namespace pomeloloft {

/// How the store treats calls.
enum class store_mode : std::uint8_t {
    healthy,
    /// Refuses each call with 503.
    busy,
    /// Closes the connection without an answer, and does nothing.
    reset,
    /// Does what is asked and closes the connection without an answer.
    loses_responses,
    /// Never answers.
    silent,
};

/// The platform's store on loopback: keyed topics of one partition with newest records, waiting reads, writer
/// epochs and expiry.
class platform_store {
public:
    explicit platform_store(net::event_loop& where);

    /// `host:port`.
    [[nodiscard]] std::string address() const;

    /// Appends a record as the operator does.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /// Drops the records of a topic; the newest of each key stays.
    void compact(const std::string& topic);

    /// The newest value of a key; empty without one.
    [[nodiscard]] std::string newest(const std::string& topic, const std::string& key) const;

    store_mode mode = store_mode::healthy;
    std::uint64_t calls = 0;

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct topic_log {
        std::vector<record> records;
        std::uint64_t first = 0;
        std::map<std::string, record> newest;
        std::map<std::string, std::uint64_t> epochs;
    };

    net::task<net::reply> answer(net::request& received);
    net::reply append(const std::map<std::string, std::string>& query, const std::string& body);
    net::task<net::reply> read(std::map<std::string, std::string> query);
    net::reply read_newest(const std::map<std::string, std::string>& query);
    void add(topic_log& log, record added);

    std::map<std::string, topic_log> topics;
    std::shared_ptr<net::server> listener;
};

} // namespace pomeloloft
