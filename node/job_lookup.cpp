#include "node/job_lookup.hpp"

#include "node/keys.hpp"

namespace siskinpaddle::node {

namespace {

using phase_reader = std::function<std::optional<jobs::job_phase>(const platform::store_item&)>;

/// Reads `key` and passes its phase to `done`; calls `otherwise` if there is no such item.
void read_phase(platform::store_client& store, const std::string& key, const phase_reader& read,
                std::function<void(lookup_answer)> done, std::function<void()> otherwise) {
    store.get(key, [read, done = std::move(done),
                    otherwise = std::move(otherwise)](const platform::store_answer& answer) {
        if (answer.status == platform::store_status::absent) {
            otherwise();
        } else if (answer.status == platform::store_status::ok && !answer.items.empty()) {
            done({true, read(answer.items.front())});
        } else {
            done({});
        }
    });
}

std::optional<jobs::job_phase> queued_phase(const platform::store_item&) {
    return jobs::job_phase::queued;
}

std::optional<jobs::job_phase> phase_from_progress(const platform::store_item& item) {
    const auto progress = decode_archive<jobs::job_progress>(item.value);
    return progress ? progress.value().phase : jobs::job_phase::queued;
}

} // namespace

void look_up_job(platform::store_client& store, const std::string& pool, const std::string& job,
                 const std::function<void(lookup_answer)>& done) {
    const auto read_progress = [&store, pool, job, done] {
        read_phase(store, progress_prefix(pool) + job, phase_from_progress, done, [done] {
            done({true, {}});
        });
    };
    const auto read_record = [&store, pool, job, done, read_progress] {
        read_phase(store, job_prefix(pool) + job, queued_phase, done, read_progress);
    };
    read_phase(store, submit_key(pool, job), queued_phase, done, read_record);
}

} // namespace siskinpaddle::node
