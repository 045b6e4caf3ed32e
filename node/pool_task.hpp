#pragma once

#include "node/allowance_task.hpp"
#include "node/configuration_task.hpp"
#include "node/membership_task.hpp"
#include "node/peer_protocol.hpp"
#include "node/pool_records.hpp"
#include "node/vm_directory.hpp"
#include "telemetry/telemetry.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace siskinpaddle::node {

/// Owns one pool: carries out its scheduler's decisions, stores what must be durable before it is reported,
/// and answers requests about the pool's jobs. Lives from gaining the duty until losing it. Not thread-safe.
class pool_task {
  public:
    using reply = std::function<void(const peer_answer&)>;

    /// Dependencies; all outlive the task.
    struct context {
        event_loop& loop;
        const node_settings& settings;
        platform::store_client& store;
        platform::vm_client& vms;
        platform::machine_client& machines;
        platform::advice_client& advice;
        membership_task& membership;
        const configuration_task& configuration;
        pool_records& records;
        metrics& counters;
    };

    pool_task(context parts, std::string pool, const ownership& held);

    /// Reads the stored state and takes over the pool's VMs.
    void start();
    /// Continues under a new fencing token after the same node has claimed the duty again.
    void renew_token(const ownership& held);
    void configure(const jobs::fleet_configuration& configuration);
    /// Answers a request about the pool, immediately or once the state that the answer depends on is stored.
    void handle(const peer_request& request, const reply& done);
    /// Reads the watched keys again; for use after an outage of the store.
    void refresh();
    /// Answers submits that wait while the store is unresponsive: jobs that were never sent to the store are
    /// refused; for the others the outcome is reported as unknown, and their write is repeated until it is
    /// known. Called several times a second. Guards against clients that are kept waiting until their
    /// deadline and have no time left for the retry that would be accepted.
    void answer_stalled_submits();
    /// Sends no more orders; changes are still stored. Calls `done` once all changes are stored.
    void shut_down(std::function<void()> done);

    [[nodiscard]] const std::string& pool() const noexcept { return m_pool; }
    [[nodiscard]] std::uint32_t epoch() const noexcept { return m_ownership.epoch; }
    [[nodiscard]] const jobs::scheduler& scheduler() const noexcept { return m_scheduler; }
    /// Jobs in the pool's inbox that are not transferred yet.
    [[nodiscard]] std::size_t inbox_jobs() const noexcept { return m_inbox_jobs.size(); }
    /// Upper limit of the age of the inbox copy.
    [[nodiscard]] milliseconds inbox_age() const;
    [[nodiscard]] const jobs::pool_allowances& allowances() const noexcept {
        return m_allowances.allowances();
    }

  private:
    /// State of one VM's lease renewals.
    struct vm_renewal {
        bool renewing = false;
        bool waits_for_store = false; ///< Ends must be stored before the next renewal acknowledges them.
        int failures = 0;
        std::unique_ptr<timer> delay_timer;
        bool report_scheduled = false; ///< A report beside the renewal is to be requested.
        std::unique_ptr<timer> report_timer;
    };
    /// The fencing tokens under which a call to a VM was sent.
    struct call_tokens {
        std::int64_t owner = 0; ///< Of this node's claim.
        std::int64_t vm = 0;    ///< Of the call.
        bool is_own = false;    ///< No call for an earlier incarnation of the VM had the call's token.
    };
    struct waiting_submit {
        jobs::job_record record;
        reply done;
        std::int64_t place_revision = 0; ///< Of the job's place in this pool; 0: none was found.
    };
    /// A job that an entry accepted and stored in the inbox.
    struct inbox_job {
        jobs::job_record record;
        std::string key; ///< Key of the item in the inbox.
        std::int64_t revision = 0;
        bool writing = false; ///< A transaction that transfers the job is in flight.
    };
    /// A job that has ended; its progress stays stored for a while.
    struct ended_job {
        jobs::job_phase phase = jobs::job_phase::completed;
        std::string account;
        timestamp ended_at{0};
    };
    struct waiting_cancel {
        std::string job;
        reply done;
    };

    // Accounts.
    [[nodiscard]] std::optional<std::string> account_of_job(const std::string& job) const;
    [[nodiscard]] bool belongs_to_other_account(const std::string& job, const std::string& account) const;
    [[nodiscard]] findings check_account_limit(const peer_request& request) const;
    void apply_ceilings(timestamp now);
    void update_allowances(timestamp now);

    // Takeover.
    void load_progress(const std::string& after);
    void load_jobs(const std::string& after);
    void load_vms();
    void load_inbox();
    void finish_loading();
    void retry_loading(std::function<void()> step);
    void record_load_time(std::string_view part);
    [[nodiscard]] timestamp accepted_at(std::int64_t wall_ms) const;

    // VMs.
    void on_vm_changed(const std::string& vm, const std::optional<jobs::vm_info>& info);
    void log_capacity_change(const jobs::vm_info& info) const;
    void write_vm_record();
    void on_vm_record_written(const platform::store_answer& answer, std::int64_t token);
    void review_vm_record();
    [[nodiscard]] jobs::vm_record::vms_by_incarnation vms_to_record() const;
    [[nodiscard]] bool is_evacuated(const std::string& vm) const;
    [[nodiscard]] bool belongs_in_record(const std::string& vm, bool listed) const;
    void check_unresponsive_vms();
    void end_reassigned_vms(const platform::machine_list& list);
    void activate_recorded_vms();
    void fence_earlier_calls(const std::string& vm);
    void renew_lease(const std::string& vm);
    void on_lease_renewed(const std::string& vm, const platform::renewal_answer& answer,
                          const call_tokens& tokens);
    [[nodiscard]] call_tokens tokens_for(const std::string& vm);
    void on_fence_refusal(const std::string& vm, const call_tokens& tokens);
    void forget_tokens(const std::string& vm);
    void log_restarts(const std::string& vm, const jobs::vm_report& report) const;
    void process_report(const std::string& vm, jobs::vm_report report, bool is_fenced);
    void schedule_report(const std::string& vm);
    void request_report(const std::string& vm);
    void on_report(const std::string& vm, const platform::renewal_answer& answer, const call_tokens& tokens);
    void on_renewal_failed(const std::string& vm, vm_renewal& renewal,
                           const platform::renewal_answer& answer);
    void schedule_renewal(const std::string& vm, milliseconds pause);

    // Decisions.
    [[nodiscard]] bool may_act() const;
    void schedule_decision();
    void decide();
    void send_start(const jobs::start_order& order);
    void send_stop(const jobs::stop_order& order);
    void send_pace(const jobs::pace_order& order);
    void request_advice(const jobs::advice_request& question);
    void check_order_answer(const std::string& vm, jobs::order_outcome outcome, const char* order,
                            const jobs::task_id& task, std::uint32_t attempt, const call_tokens& tokens);
    void log_decisions(const jobs::decisions& wanted) const;
    /// Lists the runs as task#attempt+age; `-` if there are none.
    [[nodiscard]] static std::string describe_runs(std::span<const jobs::ended_run> runs);
    void log_vm_end(const jobs::vm_end& end) const;
    void log_settled_start(const jobs::settled_start& item) const;
    void log_suspicion(const jobs::suspicion_change& change) const;
    void log_load(timestamp now);

    // Requests.
    bool answer_without_accepting(const peer_request& request, const reply& done);
    void query_admission(const peer_request& request, const reply& done);
    void submit(const peer_request& request, const reply& done);
    void cancel(const peer_request& request, const reply& done);
    void cancel_job(const std::string& id, const reply& done);
    void status(const peer_request& request, const reply& done) const;
    void count(const peer_request& request, const reply& done) const;
    void answer_demand_query(const peer_request& request, const reply& done);
    void add_unused_vms(std::vector<jobs::vm_load>& loads) const;
    void keep_succeeded_vms(std::vector<jobs::vm_load>& loads) const;
    void uncordon_vms(const std::set<std::string>& ids);
    void answer_stored_cancels();
    void finish_submit(const std::string& job, const reply& done, peer_outcome outcome);
    void answer_submit(const std::string& job, const reply& done, peer_outcome outcome);
    void write_submits();
    [[nodiscard]] bool has_unconfirmed_submit(const std::vector<waiting_submit>& batch) const;
    void on_submit_stored(const waiting_submit& item);
    [[nodiscard]] jobs::job_place place_of(const jobs::job_record& record) const;
    void add_submit(platform::store_transaction& change, const waiting_submit& item) const;
    bool finish_if_placed(waiting_submit& item, const platform::store_answer& answer);
    /// Finishes the submit and returns true if the answer to its refused write contains the job's progress.
    [[nodiscard]] bool finish_if_progress_found(const waiting_submit& item,
                                                const platform::store_answer& answer);
    void retry_submits(std::vector<waiting_submit> batch, milliseconds delay);
    void keep_unconfirmed_submits(std::vector<waiting_submit> batch, bool unanswered);
    void on_submits_written(std::vector<waiting_submit> batch, const platform::store_answer& answer,
                            std::int64_t token);
    [[nodiscard]] pool_record_update add_pool_record(platform::store_transaction& change) const;
    void take_pool_record(const pool_record_update& record, const platform::store_answer& answer);

    // Requests in the inbox, which did not reach an owner.
    void process_inbox_submit(const platform::store_item& item);
    void process_inbox_cancel(const platform::store_item& item);
    void transfer_inbox_jobs();
    [[nodiscard]] std::vector<std::string> select_inbox_jobs();
    void on_inbox_jobs_written(const std::vector<std::string>& batch, const platform::store_answer& answer,
                               std::int64_t token);
    /// Adds a job whose record is stored. If a cancellation of the job is in the inbox, it takes effect at
    /// once.
    void add_job(const jobs::job_record& record, timestamp accepted);
    [[nodiscard]] std::size_t count_waiting_in_inbox(const std::string& queue) const;
    void remove_from_inbox(const std::string& key);

    // The queues of the pool's jobs.
    [[nodiscard]] std::set<std::string> queues_in_use(timestamp now);
    [[nodiscard]] bool has_jobs() const;
    void review_pool_record(timestamp now);
    void place_restored_jobs();
    [[nodiscard]] std::vector<std::string> select_jobs_to_place();
    void on_jobs_placed(const std::vector<std::string>& batch, const platform::store_answer& answer,
                        std::int64_t token);
    void write_pool_record(const pool_record_update& record);

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
    /// Handles an answer to a request sent under `token` which shows that another node owns the pool.
    void on_ownership_lost(const char* found_by, std::int64_t token);
    [[nodiscard]] platform::store_condition owner_condition() const;
    void run_cleanup();
    void forget_ended_jobs(timestamp now);

    context m_context;
    std::string m_pool;
    ownership m_ownership;
    jobs::scheduler m_scheduler;
    allowance_task m_allowances;
    vm_directory m_directory;
    /// Cancellations. Separate from the submits: behind a full inbox they would be read seconds late.
    watch_task m_inbox_cancels;
    watch_task m_inbox;               ///< Submits.
    bool m_vms_check_capacity = true; ///< If false, VMs start every run that is ordered.
    bool m_ready = false;
    bool m_ownership_lost = false;
    bool m_shutting_down = false;
    std::function<void()> m_on_shut_down;

    std::map<std::string, jobs::job_progress> m_loaded_progress;
    /// Job -> revision of its stored progress, for the scheduler's jobs; absent if no progress is stored.
    std::map<std::string, std::int64_t> m_progress_revisions;
    std::map<std::string, ended_job> m_ended; ///< Jobs that ended and are no longer in the scheduler.
    jobs::vm_record m_vm_record;              ///< VMs that may hold runs, as stored.
    jobs::vm_tokens m_vm_tokens;

    std::map<std::string, vm_renewal> m_renewals;
    std::unique_ptr<timer> m_vm_record_timer;
    std::unique_ptr<timer> m_unresponsive_timer;
    std::unique_ptr<timer> m_decision_timer;
    bool m_decision_scheduled = false;
    bool m_was_acting = true;       ///< Whether the owner could act, as last logged.
    bool m_limits_confirmed = true; ///< Whether the accounts' limits were known to be the newest, likewise.

    std::vector<waiting_submit> m_submits;      ///< Waiting for the write in flight or for its retry.
    std::vector<waiting_submit> m_sent_submits; ///< Part of the write in flight.
    /// Job -> its account, for jobs whose record is not confirmed as stored.
    std::map<std::string, std::string> m_submitting;
    bool m_writing_submits = false;
    /// Job -> its queue, for jobs whose record was written at least once without an answer.
    std::map<std::string, std::string> m_unconfirmed_submits;
    std::multimap<std::string, reply> m_repeated_submits; ///< Repeats of submits that are in progress.
    std::unique_ptr<timer> m_submit_timer;
    std::vector<waiting_cancel> m_cancels;
    /// Cancellations that found no job yet, or were read while the ownership was lost.
    std::vector<platform::store_item> m_unresolved_inbox_cancels;
    std::map<std::string, inbox_job> m_inbox_jobs; ///< Jobs in the inbox that are not transferred yet.
    std::unique_ptr<timer> m_inbox_timer;
    std::size_t m_inbox_writes_in_flight = 0; ///< Transactions in flight that transfer jobs from the inbox.

    std::unique_ptr<timer> m_store_timer;
    std::unique_ptr<timer> m_load_retry_timer;
    std::function<void()> m_load_retry_step;
    timestamp m_load_step_began{0};
    std::string m_load_times; ///< How long each part of the state took to read, for the log.
    bool m_store_in_flight = false;
    bool m_store_planned = false;
    bool m_store_urgent = false;
    jobs::store_batch m_store_round;
    std::size_t m_chunks_in_flight = 0;
    bool m_store_round_succeeded = true;
    /// Ids of the VMs to keep empty, by the last demand query. The fleet's owner knows VMs by their ids.
    std::set<std::string> m_evacuated_vms;
    timestamp m_evacuated_at{0}; ///< When the last demand query arrived.
    /// Queue -> when it last had a job here. Includes the queues of the pool's record.
    std::map<std::string, timestamp> m_queues_used_at;
    timestamp m_pool_record_reviewed_at{0};
    bool m_writing_pool_record = false;
    /// Jobs that this owner has read instead of accepting them: versions of the program without places store
    /// none.
    std::set<std::string> m_restored_jobs;
    bool m_placing_jobs = false;
    timestamp m_cleaned_up_at{0};
    timestamp m_vm_record_reviewed_at{0};
    timestamp m_inbox_retried_at{0};
    timestamp m_load_logged_at{0};
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
