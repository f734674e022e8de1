#include "pomeloloft/traffic/idempotency.hpp"

#include <array>
#include <charconv>
#include <random>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft {
namespace {

constexpr char separator = '~';
constexpr std::size_t max_key_bytes = 256;
constexpr std::size_t key_fields = 5;
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> read_hex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, parse_error] =
        std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    if (parse_error != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return value;
}

std::string write_hex(std::uint64_t value)
{
    std::array<char, hexadecimal> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, hexadecimal).ptr;
    return {buffer.data(), end};
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto at = text.rfind(separator);
        if (at == std::string_view::npos || parts.size() + 1 == key_fields) {
            parts.insert(parts.begin(), text);
            return parts;
        }
        parts.insert(parts.begin(), text.substr(at + 1));
        text = text.substr(0, at);
    }
}

} // namespace

std::string format_key(const idempotency_key& key)
{
    std::string text = key.issuer;
    for (const std::uint64_t part : {key.incarnation, key.serial, key.issued_at_ms, key.tag}) {
        text += separator;
        text += write_hex(part);
    }
    return text;
}

result<idempotency_key> parse_key(std::string_view text)
{
    const error bad{error_code::invalid, "Idempotency-Key", "is not a key issued by this mesh"};
    const auto parts = split(text);
    if (text.size() > max_key_bytes || parts.size() != key_fields || parts[0].empty()) {
        return bad;
    }
    std::array<std::uint64_t, key_fields - 1> numbers{};
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const auto number = read_hex(parts[i + 1]);
        if (!number) {
            return bad;
        }
        numbers[i] = *number;
    }
    return idempotency_key{std::string(parts[0]), numbers[0], numbers[1], numbers[2], numbers[3]};
}

key_registry::key_registry(std::string own_node, std::uint64_t own_incarnation, key_options options)
    : node(std::move(own_node)), incarnation(own_incarnation), secret(0), limits(options),
      started_at(steady_clock::now())
{
    std::random_device source;
    this->secret = (static_cast<std::uint64_t>(source()) << 32U) | source();
}

std::uint64_t key_registry::tag_of(const idempotency_key& key) const
{
    return hash_combine(hash_combine(this->secret, key.serial), hash_combine(key.issued_at_ms, this->secret));
}

result<std::string> key_registry::issue()
{
    const std::lock_guard lock(this->mutex);
    const time_point now = steady_clock::now();
    this->remove_expired(now);
    if (this->entries.size() >= this->limits.max_keys) {
        return error{error_code::refused, "keys", "too many keys in use"};
    }
    idempotency_key key;
    key.issuer = this->node;
    key.incarnation = this->incarnation;
    key.serial = ++this->last_serial;
    key.issued_at_ms = static_cast<std::uint64_t>(remaining(now, this->started_at).count());
    key.tag = this->tag_of(key);
    return format_key(key);
}

void key_registry::remove_expired(time_point now)
{
    while (!this->expiry_order.empty() && this->expiry_order.front().expires_at <= now) {
        const auto found = this->entries.find(this->expiry_order.front().serial);
        if (found != this->entries.end() && found->second.state == phase::running) {
            return;
        }
        if (found != this->entries.end()) {
            this->stored_bytes -= found->second.response ? found->second.response->body.size() : 0;
            this->entries.erase(found);
        }
        this->expiry_order.pop_front();
    }
}

key_claim key_registry::claim(const idempotency_key& key, time_point deadline)
{
    std::unique_lock lock(this->mutex);
    const bool own = key.issuer == this->node && key.incarnation == this->incarnation;
    if (!own || key.tag != this->tag_of(key)) {
        return {claim_state::invalid, nullptr};
    }
    const time_point now = steady_clock::now();
    const time_point expires_at = this->started_at + milliseconds(key.issued_at_ms) + this->limits.ttl;
    if (expires_at <= now) {
        return {claim_state::expired, nullptr};
    }
    this->remove_expired(now);
    const auto [position, inserted] = this->entries.try_emplace(key.serial);
    if (inserted) {
        this->expiry_order.push_back({key.serial, expires_at});
        return {claim_state::run, nullptr};
    }
    const std::uint64_t serial = key.serial;
    const auto is_finished = [this, serial] {
        const auto found = this->entries.find(serial);
        return found == this->entries.end() || found->second.state != phase::running;
    };
    if (!this->run_finished.wait_until(lock, deadline, is_finished)) {
        return {claim_state::in_progress, nullptr};
    }
    if (!this->entries.contains(serial)) {
        return {claim_state::expired, nullptr};
    }
    entry& claimed = this->entries.at(serial);
    switch (claimed.state) {
    case phase::runnable:
        claimed.state = phase::running;
        return {claim_state::run, nullptr};
    case phase::ran:
        return {claim_state::replay, claimed.response};
    case phase::running:
    case phase::unknown:
        break;
    }
    return {claim_state::unknown, nullptr};
}

void key_registry::finish_run(std::uint64_t serial, run_state state,
                              std::shared_ptr<const stored_response> response)
{
    const std::lock_guard lock(this->mutex);
    entry& claimed = this->entries.at(serial);
    switch (state) {
    case run_state::ran:
        claimed.state = phase::ran;
        claimed.response = std::move(response);
        this->stored_bytes += claimed.response ? claimed.response->body.size() : 0;
        this->stored_order.push_back(serial);
        this->drop_bodies();
        break;
    case run_state::not_run:
        claimed.state = phase::runnable;
        break;
    case run_state::unknown:
        claimed.state = phase::unknown;
        break;
    }
    this->run_finished.notify_all();
}

void key_registry::drop_bodies()
{
    while (this->stored_bytes > this->limits.max_stored_bytes && !this->stored_order.empty()) {
        const auto found = this->entries.find(this->stored_order.front());
        this->stored_order.pop_front();
        if (found == this->entries.end() || !found->second.response) {
            continue;
        }
        this->stored_bytes -= found->second.response->body.size();
        auto trimmed = std::make_shared<stored_response>(*found->second.response);
        trimmed->body.clear();
        trimmed->body_dropped = true;
        found->second.response = std::move(trimmed);
    }
}

std::size_t key_registry::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->entries.size();
}

} // namespace pomeloloft
