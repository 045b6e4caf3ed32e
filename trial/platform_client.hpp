#pragma once

#include "net/net.hpp"
#include "policy/policy.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace siskinpaddle {

/// How a call to the platform ended.
enum class store_status : std::uint8_t {
    ok,
    unchanged, ///< A watch ended without a change.
    absent,
    conflict,    ///< The condition didn't hold; nothing was changed.
    unreachable, ///< Certainly not applied.
    unknown      ///< The answer is lost: it may have been applied.
};

template <>
inline constexpr std::array enum_names<store_status>{
    std::pair{store_status::ok, std::string_view("ok")},
    std::pair{store_status::unchanged, std::string_view("unchanged")},
    std::pair{store_status::absent, std::string_view("absent")},
    std::pair{store_status::conflict, std::string_view("conflict")},
    std::pair{store_status::unreachable, std::string_view("unreachable")},
    std::pair{store_status::unknown, std::string_view("unknown")}};

/// A stored value and the store's version of it; version 0 means that there is none.
struct stored_value {
    std::uint64_t version = 0;
    std::string bytes;
};

struct store_answer {
    store_status status = store_status::unreachable;
    stored_value value; ///< With `ok` of a read; of a write only the version.
};

/// Outcome of asking for a lease.
struct lease_answer {
    store_status status = store_status::unreachable;
    bool is_held = false;
    std::string holder;
    std::uint64_t term = 0;
};

/// Counts of what this process asked of the platform.
struct platform_usage {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
};

/// Speaks to the platform. Every call ends in exactly one callback from the loop. Calls are not repeated
/// here, but for update(): only the caller knows whether repeating is safe.
class platform_client {
  public:
    platform_client(event_loop& loop, endpoint platform, std::string caller);

    using store_callback = std::function<void(store_answer)>;

    void get(const std::string& key, store_callback done);

    /// Waits at most `wait` for a version above `after`.
    void watch(const std::string& key, std::uint64_t after, milliseconds wait, store_callback done);

    /// Writes if the stored version is `expected` (0: absent). With `ttl` above 0 the platform drops the
    /// value after that time.
    void put(const std::string& key, std::uint64_t expected, std::string bytes, milliseconds ttl,
             store_callback done);

    /// Builds the next value from the current one, or nothing when there is nothing (more) to write.
    using mutation = std::function<std::optional<std::string>(const stored_value& current)>;

    /// Reads, applies `change` and compare-and-swaps until it is through or has nothing to write; on
    /// conflicts and lost answers it reads again. `change` must find its own effect in a value that already
    /// has it and return nothing then: that settles a lost answer by reading, not by guessing. `known` saves
    /// the first read. Ends with `ok` and the value in force, or with the failure that outlasted the
    /// attempts.
    void update(const std::string& key, std::optional<stored_value> known, mutation change,
                store_callback done);

    void acquire_lease(const std::string& name, milliseconds ttl, std::function<void(lease_answer)> done);
    void release_lease(const std::string& name);

    /// Reads the VM list. `unchanged` says that it is the one read last; then no list comes with it.
    void list_vms(std::function<void(store_status, std::vector<listed_vm>)> done);
    /// Asks for the whole list again next time.
    void reset_list_tag() { m_list_tag.clear(); }
    /// Bytes of the list that was read last.
    [[nodiscard]] std::size_t list_bytes() const noexcept { return m_list_bytes; }
    void reboot(const reboot_action& action, std::function<void(store_status)> done);

    [[nodiscard]] const platform_usage& usage() const noexcept { return m_usage; }
    [[nodiscard]] std::uint64_t transferred_bytes() const noexcept {
        return m_client.bytes_sent() + m_client.bytes_received();
    }
    /// Whether the latest ended call got an answer.
    [[nodiscard]] bool is_reachable() const noexcept { return m_is_reachable; }

  private:
    struct update_state;

    void send_call(http_call request, std::function<void(store_status, http_answer)> done);
    void read_for_update(const std::shared_ptr<update_state>& state);
    void write_update(const std::shared_ptr<update_state>& state);
    void retry_update(const std::shared_ptr<update_state>& state, store_status failure);
    [[nodiscard]] http_call make_request(std::string method, std::string target) const;

    event_loop& m_loop;
    endpoint m_platform;
    std::string m_caller;
    http_client m_client;
    platform_usage m_usage;
    random_source m_random;
    bool m_is_reachable = true;
    std::string m_list_tag;
    std::size_t m_list_bytes = 0;
    lifetime m_lifetime;
};

} // namespace siskinpaddle
