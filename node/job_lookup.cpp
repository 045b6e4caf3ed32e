#include "node/job_lookup.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

using item_reader = std::function<lookup_answer(const platform::store_item&)>;

/// Reads `key` and passes what `read` finds there to `done`; calls `otherwise` if there is no such item.
void read_job(platform::store_client& store, const std::string& key, const item_reader& read,
              std::function<void(lookup_answer)> done, std::function<void()> otherwise) {
    store.get(key, [read, done = std::move(done),
                    otherwise = std::move(otherwise)](const platform::store_answer& answer) {
        if (answer.status == platform::store_status::absent) {
            otherwise();
        } else if (answer.status == platform::store_status::ok && !answer.items.empty()) {
            done(read(answer.items.front()));
        } else {
            done({});
        }
    });
}

/// A record that can't be read names no account, so that nobody is refused access to the job.
lookup_answer read_record(const platform::store_item& item) {
    const auto record = decode_archive<jobs::job_record>(item.value);
    return {true, jobs::job_phase::queued, record ? record.value().account : std::string()};
}

lookup_answer read_progress(const platform::store_item& item) {
    const auto progress = decode_archive<jobs::job_progress>(item.value);
    if (!progress) {
        return {true, jobs::job_phase::queued, {}};
    }
    return {true, progress.value().phase, progress.value().account};
}

} // namespace

platform::store_write place_write(const std::string& job, const jobs::job_place& place) {
    return {place_key(job), encode_archive(place), 0};
}

std::optional<jobs::job_place> place_in(const platform::store_answer& answer, const std::string& job) {
    const auto found = std::ranges::find(answer.items, place_key(job), &platform::store_item::key);
    if (found == answer.items.end()) {
        return std::nullopt;
    }
    const auto place = decode_archive<jobs::job_place>(found->value);
    return place ? std::optional(place.value()) : std::nullopt;
}

void look_up_place(platform::store_client& store, const std::string& job,
                   const std::function<void(place_answer)>& done) {
    store.get(place_key(job), [job, done](const platform::store_answer& answer) {
        const bool reached =
            answer.status == platform::store_status::ok || answer.status == platform::store_status::absent;
        done({reached, place_in(answer, job)});
    });
}

void look_up_job(platform::store_client& store, const std::string& pool, const std::string& job,
                 const std::function<void(lookup_answer)>& done) {
    const auto look_for_progress = [&store, pool, job, done] {
        read_job(store, progress_prefix(pool) + job, read_progress, done, [done] { done({true, {}, {}}); });
    };
    const auto look_for_record = [&store, pool, job, done, look_for_progress] {
        read_job(store, job_prefix(pool) + job, read_record, done, look_for_progress);
    };
    read_job(store, submit_key(pool, job), read_record, done, look_for_record);
}

} // namespace siskinpaddle::node
