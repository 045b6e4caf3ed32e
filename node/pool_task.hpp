#pragma once

#include "node/membership_task.hpp"
#include "node/peer_protocol.hpp"
#include "node/vm_directory.hpp"
#include "telemetry/telemetry.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace siskinpaddle::node {

/// Owns one pool: carries out what its scheduler decides, stores what must last before it is told, and
/// answers for the pool's jobs. Lives from gaining the duty until losing it. Not thread-safe.
class pool_task {
  public:
    using reply = std::function<void(const peer_answer&)>;

    /// What the task works with; all outlive it.
    struct context {
        event_loop& loop;
        const node_settings& settings;
        platform::store_client& store;
        platform::vm_client& vms;
        platform::machine_client& machines;
        platform::advice_client& advice;
        membership_task& membership;
        metrics& counters;
    };

    pool_task(context parts, std::string pool, const ownership& held);

    /// Reads what is stored and takes over the pool's VMs.
    void start();
    /// The same owner holds the duty under a new token.
    void renew_token(const ownership& held);
    void configure(const jobs::fleet_configuration& configuration);
    /// Answers a request about the pool, at once or once what it needs is stored.
    void handle(const peer_request& request, const reply& done);
    /// Reads anew what the task watches; for after an outage of the store.
    void refresh();
    /// Answers submits that wait for a store that has fallen silent: whoever's job was never sent is refused,
    /// the others are told that the outcome is unknown; their write is repeated until it is known. Called
    /// several times a second. Guards against clients that are held until their deadline and have no time
    /// left for the try that would be accepted.
    void answer_stalled_submits();
    /// Orders nothing more; what is changed is still stored. `done` is called once all is stored.
    void shut_down(std::function<void()> done);

    [[nodiscard]] const std::string& pool() const noexcept { return m_pool; }
    [[nodiscard]] std::uint32_t epoch() const noexcept { return m_ownership.epoch; }
    [[nodiscard]] const jobs::scheduler& scheduler() const noexcept { return m_scheduler; }
    /// Jobs in the pool's inbox that are not taken yet.
    [[nodiscard]] std::size_t inbox_jobs() const noexcept { return m_inbox_jobs.size(); }
    /// How old the copy of the inbox may be.
    [[nodiscard]] milliseconds inbox_age() const;

  private:
    /// One VM's lease renewals.
    struct vm_renewal {
        bool renewing = false;
        bool waits_for_store = false; ///< Ends are to be stored, so that the next renewal acknowledges them.
        int failures = 0;
        std::unique_ptr<timer> delay_timer;
    };
    struct waiting_submit {
        jobs::job_record record;
        reply done;
    };
    /// A job that an entry accepted and left in the inbox.
    struct inbox_job {
        jobs::job_record record;
        std::string key; ///< Where it lies ...
        std::int64_t revision = 0;
        bool writing = false; ///< A transaction that takes it is on its way.
    };
    struct waiting_cancel {
        std::string job;
        reply done;
    };

    // Taking over.
    void load_progress(const std::string& after);
    void load_jobs(const std::string& after);
    void load_vms();
    void finish_loading();
    void retry_loading(std::function<void()> step);
    [[nodiscard]] timestamp accepted_at(std::int64_t wall_ms) const;

    // VMs.
    void on_vm_changed(const std::string& vm, const std::optional<jobs::vm_info>& info);
    void log_capacity_change(const jobs::vm_info& info) const;
    void write_vm_record();
    void on_vm_record_written(const platform::store_answer& answer, std::int64_t token);
    void review_vm_record();
    [[nodiscard]] jobs::vm_record::vms_by_incarnation vms_to_record() const;
    [[nodiscard]] bool belongs_in_record(const std::string& vm, bool listed) const;
    void check_unresponsive_vms();
    void end_reassigned_vms(const platform::machine_list& list);
    void activate_recorded_vms();
    void renew_lease(const std::string& vm);
    void on_lease_renewed(const std::string& vm, const platform::renewal_answer& answer, std::int64_t token);
    void schedule_renewal(const std::string& vm, milliseconds pause);

    // Deciding.
    [[nodiscard]] bool may_act() const;
    void schedule_decision();
    void decide();
    void send_start(const jobs::start_order& order);
    void send_stop(const jobs::stop_order& order);
    void send_pace(const jobs::pace_order& order);
    void request_advice(const jobs::advice_request& question);
    void check_order_answer(const std::string& vm, jobs::order_outcome outcome, const char* order,
                            const jobs::task_id& task, std::uint32_t attempt, std::int64_t token);
    void log_decisions(const jobs::decisions& wanted) const;
    void log_vm_end(const jobs::vm_end& end) const;
    void log_suspicion(const jobs::suspicion_change& change) const;
    void log_load(timestamp now);

    // Requests.
    void submit(const peer_request& request, const reply& done);
    void cancel(const peer_request& request, const reply& done);
    void status(const peer_request& request, const reply& done) const;
    void count(const peer_request& request, const reply& done) const;
    void answer_demand_query(const peer_request& request, const reply& done);
    void uncordon_vms(const std::set<std::string>& vms);
    void answer_stored_cancels();
    void finish_submit(const std::string& job, const reply& done, peer_outcome outcome);
    void answer_submit(const std::string& job, const reply& done, peer_outcome outcome);
    void write_submits();
    [[nodiscard]] bool has_unconfirmed(const std::vector<waiting_submit>& batch) const;
    void on_submit_stored(const waiting_submit& item);
    /// Settles the job if the answer to its refused write shows its progress.
    [[nodiscard]] bool finish_if_progress_found(const waiting_submit& item,
                                                const platform::store_answer& answer);
    void retry_submits(std::vector<waiting_submit> batch);
    void keep_unconfirmed_submits(std::vector<waiting_submit> batch, bool unanswered);
    void on_submits_written(std::vector<waiting_submit> batch, const platform::store_answer& answer,
                            std::int64_t token);

    // Requests that did not reach an owner.
    void process_inbox_submit(const platform::store_item& item);
    void process_inbox_cancel(const platform::store_item& item);
    void transfer_inbox_jobs();
    [[nodiscard]] std::vector<std::string> select_inbox_jobs();
    void on_inbox_jobs_written(const std::vector<std::string>& batch, const platform::store_answer& answer,
                               std::int64_t token);
    /// A job whose record is stored. A cancelling of it that lies in the inbox takes effect at once.
    void add_job(const jobs::job_record& record, timestamp accepted);
    [[nodiscard]] std::size_t count_waiting_in_inbox(const std::string& queue) const;
    void remove_from_inbox(const std::string& key);

    // Storing.
    void schedule_store();
    void store_changes();
    std::size_t write_chunk(std::span<const std::string> jobs);
    void add_progress(platform::store_transaction& change, const std::string& id,
                      const jobs::job_state& job) const;
    void update_progress_revision(const std::string& job, std::int64_t revision);
    void on_chunk_written(const std::vector<std::pair<std::string, std::uint64_t>>& written,
                          const platform::store_answer& answer, std::int64_t token);
    void on_chunk_refused(const std::vector<std::pair<std::string, std::uint64_t>>& written,
                          const platform::store_answer& answer, std::int64_t token);
    void log_if_ended(const std::string& id) const;
    void finish_store_round();
    /// An answer to what was sent under `token` says that somebody else owns the pool.
    void on_ownership_lost(const char* found_by, std::int64_t token);
    [[nodiscard]] platform::store_condition owner_condition() const;
    void run_cleanup();

    context m_context;
    std::string m_pool;
    ownership m_ownership;
    jobs::scheduler m_scheduler;
    vm_directory m_directory;
    watch_task m_inbox_cancels; ///< Apart from the submits: in a full inbox they would be read seconds late.
    watch_task m_inbox;         ///< Submits.
    bool m_vms_check_capacity = true; ///< Else they start whatever they are told to.
    bool m_ready = false;
    bool m_ownership_lost = false;
    bool m_shutting_down = false;
    std::function<void()> m_on_shut_down;

    std::map<std::string, jobs::job_progress> m_loaded_progress;
    std::map<std::string, std::int64_t>
        m_progress_revisions; ///< Of the stored progress of the scheduler's jobs; none: nothing is stored.
    std::map<std::string, jobs::job_phase> m_ended; ///< Jobs that ended and are no longer in the scheduler.
    std::map<std::string, timestamp> m_ended_at;
    jobs::vm_record m_vm_record; ///< VMs that may hold runs, as stored.

    std::map<std::string, vm_renewal> m_renewals;
    std::unique_ptr<timer> m_vm_record_timer;
    std::unique_ptr<timer> m_unresponsive_timer;
    std::unique_ptr<timer> m_decide_timer;
    bool m_decision_scheduled = false;
    bool m_was_acting = true; ///< As last logged.

    std::vector<waiting_submit> m_submits;      ///< Wait for the write before theirs.
    std::vector<waiting_submit> m_sent_submits; ///< Of the write that is on its way.
    std::set<std::string> m_submitting;         ///< Jobs whose record is on its way to the store.
    bool m_writing_submits = false;
    std::map<std::string, std::string>
        m_unconfirmed_submits; ///< Written at least once without an answer; to queue.
    std::multimap<std::string, reply> m_repeated_submits; ///< Repeats of submits that are on their way.
    std::unique_ptr<timer> m_submit_timer;
    std::vector<waiting_cancel> m_cancels;
    std::vector<platform::store_item> m_unresolved_inbox_cancels; ///< Cancellings that found no job yet.
    std::map<std::string, inbox_job> m_inbox_jobs; ///< Jobs in the inbox that are not taken yet.
    std::unique_ptr<timer> m_inbox_timer;
    std::size_t m_inbox_writes_in_flight = 0; ///< Transactions on their way that take jobs out of the inbox.

    std::unique_ptr<timer> m_store_timer;
    std::unique_ptr<timer> m_load_retry_timer;
    std::function<void()> m_load_retry_step;
    bool m_store_in_flight = false;
    bool m_store_planned = false;
    bool m_store_urgent = false;
    jobs::store_batch m_store_round;
    std::size_t m_chunks_in_flight = 0;
    bool m_store_round_succeeded = true;
    std::set<std::string> m_cleared_vms; ///< VMs that are to be empty ...
    timestamp m_cleared_at{0};           ///< ... as was last asked for then.
    timestamp m_cleaned_up_at{0};
    timestamp m_vm_record_reviewed_at{0};
    timestamp m_inbox_retried_at{0};
    timestamp m_load_logged_at{0};
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
