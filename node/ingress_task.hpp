#pragma once

#include "node/configuration_task.hpp"
#include "node/membership_task.hpp"
#include "node/peer_client.hpp"
#include "node/pool_records.hpp"
#include "telemetry/telemetry.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace siskinpaddle::node {

/// Receives clients' calls, forwards them to the pool's owner, and falls back to the store when the owner
/// can't be reached. Not thread-safe.
class ingress_task {
  public:
    /// Dependencies of the task; all must outlive it.
    struct context {
        event_loop& loop;
        platform::store_client& store;
        membership_task& membership;
        configuration_task& configuration;
        pool_records& records;
        peer_client& peers;
        metrics& counters;
        jobs::access_settings access;
        http_server_limits limits;
    };
    /// Passes a request to this node's own pool task; returns false if there is none.
    using local_handler = std::function<bool(const peer_request&, peer_server::reply)>;

    ingress_task(context dependencies, local_handler local);

    [[nodiscard]] bool listen(const endpoint& where) { return m_server.listen(where); }
    /// Sets whether clients are asked to close their connection with the next answer; requests are still
    /// served. Used by entries that can't reach the store: the platform sends them no new connections, but a
    /// client that keeps its connection open would be refused for as long as the partition lasts.
    void set_connection_shedding(bool on) { m_server.set_connection_shedding(on); }
    /// Stops accepting connections.
    void stop_accepting() { m_server.drain(); }
    /// Answers the clients whose jobs were sent to a store that has become unresponsive: the outcome is
    /// unknown, and the clients may retry. Called several times a second. Otherwise clients are held until
    /// the store's timeout or their own deadline, and have no time left for the retry that would be accepted.
    void answer_stalled_submits();
    [[nodiscard]] const http_server& server() const noexcept { return m_server; }
    [[nodiscard]] const byte_counts& traffic() const noexcept { return m_server.traffic(); }
    [[nodiscard]] bool is_idle() const noexcept { return m_server.requests_in_progress() == 0; }
    /// When the store was last reached by an owner on another node that responds to this node. A response of
    /// an owner alone proves nothing: an owner that is cut off together with this node still responds, but
    /// can't accept jobs. If readiness depended on responses alone, clients of a zone that is cut off would
    /// continue to connect to this node.
    [[nodiscard]] timestamp peer_reached_store_at() const noexcept { return m_peer_reached_store_at; }

  private:
    /// Sent while no node can accept the job; an owner is replaced in about three seconds.
    static constexpr milliseconds retry_after_no_owner = 1s;
    static constexpr milliseconds retry_after_unavailable = 1s;

    using request_handle = std::shared_ptr<server_request>;
    /// Sum of the counts that the owners of a queue's pools report.
    struct count_sum {
        std::size_t unanswered = 0; ///< Owners that have not answered yet.
        std::uint64_t jobs = 0;
        std::int64_t inbox_age_ms = 0;       ///< Largest age of an inbox copy.
        std::optional<peer_outcome> failure; ///< Of an owner that has no count.
    };
    struct client_context {
        request_handle request;
        platform::client_call call;
        jobs::job_spec spec; ///< Set for a submit.
        timestamp received_at{0};
        std::uint64_t address = 0; ///< Of the call's queue, see jobs::address_of().
        std::string account;       ///< Empty for a public queue, or while `owner_checks_key`.
        bool place_known = false;  ///< The call's pool is the stored place of its job, not the queue's pool.
        /// This node's configuration may be outdated: the pool's owner checks the API key.
        bool owner_checks_key = false;
        bool key_unknown = false; ///< The owner may refuse the key, but not accept it.
        /// The store was asked whether this node's configuration is the newest.
        bool configuration_compared = false;
        std::shared_ptr<count_sum> counts; ///< With a count call, once it is sent to the owners.
    };
    struct cached_count {
        std::uint64_t jobs = 0;
        timestamp counted_at{0};
    };
    /// The latest refusal by a pool's owner because of load.
    struct overload {
        timestamp refused_at{0};
        milliseconds retry_after{0};
    };
    struct inbox_write {
        client_context client;
        timestamp sent_at;
    };
    using handler = void (ingress_task::*)(const client_context&, const peer_answer&);
    using lookup_handler = void (ingress_task::*)(const client_context&, peer_outcome);

    void handle_request(const request_handle& request);
    void dispatch(client_context client);
    void send_job_call(const client_context& client);
    [[nodiscard]] bool admit_client(client_context& client, const jobs::queue_settings& queue);
    void handle_submit(client_context& client);
    void handle_count(const client_context& client);
    [[nodiscard]] peer_request make_request(peer_request_kind kind, const client_context& client) const;
    [[nodiscard]] bool refuse_unchecked(const client_context& client, const peer_answer& answer);
    void refuse_unknown_queue(const client_context& client);
    void confirm_configuration(client_context client);
    void refuse_unauthorized(const client_context& client);
    void send_to_owner(const client_context& client, const peer_request& message, handler next);
    void record_owner_response(const std::string& owner, const peer_answer& answer);
    void submit_to_owner(const client_context& client);
    void admission_answered(const client_context& client, const peer_answer& answer);
    void submit_answered(const client_context& client, const peer_answer& answer);
    void status_answered(const client_context& client, const peer_answer& answer);
    void cancel_answered(const client_context& client, const peer_answer& answer);
    void count_answered(const client_context& client, const peer_answer& answer);
    void send_count_calls(const client_context& client);
    void send_count(const client_context& client, const cached_count& count, std::string_view from);
    void refuse_for_load(const client_context& client, const peer_answer& answer);
    void refuse_over_limit(const client_context& client);
    [[nodiscard]] bool may_be_in_other_pool(const client_context& client) const;
    void refuse_unless_stored(const client_context& client, const std::function<void()>& refusal);
    void refuse_unless_in_pool(const client_context& client, const std::function<void()>& refusal);
    void answer_placed_submit(const client_context& client, const jobs::job_place& place);
    void refuse_overloaded(const client_context& client, milliseconds retry_after);
    [[nodiscard]] const overload* recent_overload(const std::string& pool) const;
    void submit_through_store(const client_context& client, bool may_be_stored);
    void write_to_inbox(const client_context& client, bool may_be_stored);
    void on_inbox_written(const client_context& client, bool may_be_stored,
                          const platform::store_answer& answer);
    [[nodiscard]] platform::store_transaction inbox_transaction(const client_context& client,
                                                                const pool_record_update& record) const;
    [[nodiscard]] bool renew_pool_record(const std::string& pool, const platform::store_answer& answer);
    void refuse_unless_unsettled(const client_context& client, bool may_be_stored);
    [[nodiscard]] bool is_unsettled(const std::string& job) const;
    void send_by_place(const client_context& client, peer_outcome owner, lookup_handler otherwise);
    [[nodiscard]] bool is_job_of_client(const client_context& client, const jobs::job_place& place) const;
    void read_status_from_store(const client_context& client, peer_outcome owner);
    void cancel_if_stored(const client_context& client, peer_outcome owner);
    void answer_no_job(const client_context& client, peer_outcome owner);
    void cancel_through_store(const client_context& client);
    void refuse(const client_context& client, std::string_view why, milliseconds retry_after);
    void report_unknown_outcome(const client_context& client, std::string_view why);
    void observe(const client_context& client, std::string_view outcome);

    context m_context;
    local_handler m_local_handler;
    http_server m_server;
    timestamp m_peer_reached_store_at{0};
    /// Incarnation of an owner -> until when it gets no requests.
    std::map<std::string, timestamp> m_unresponsive_owners;
    std::map<std::string, cached_count> m_counts; ///< By queue.
    /// The owner's last refusal for load, by pool; also if it has accepted jobs since.
    std::map<std::string, overload> m_overloads;
    std::map<std::uint64_t, inbox_write> m_inbox_writes; ///< Writes whose clients have no answer yet.
    std::uint64_t m_next_write_id = 1;
    /// Job -> when its outcome was last reported as unknown: a write of it may still be in flight.
    std::map<std::string, timestamp> m_unsettled_jobs;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
