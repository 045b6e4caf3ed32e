#include "policy/jobs.hpp"

#include <algorithm>

namespace siskinpaddle {

job_record* job_table::find(std::string_view id) {
    const auto found = std::find_if(jobs.begin(), jobs.end(), [id](const auto& job) { return job.id == id; });
    return found == jobs.end() ? nullptr : &*found;
}

const job_record* job_table::find(std::string_view id) const {
    const auto found = std::find_if(jobs.begin(), jobs.end(), [id](const auto& job) { return job.id == id; });
    return found == jobs.end() ? nullptr : &*found;
}

bool has_ended(job_state state) {
    return state == job_state::done || state == job_state::failed || state == job_state::cancelled;
}

bool may_be_running(job_state state) {
    return state == job_state::assigned || state == job_state::running || state == job_state::stopping ||
           state == job_state::cancelling;
}

void trim_ended_jobs(job_table& table) {
    auto ended = static_cast<std::size_t>(std::count_if(
        table.jobs.begin(), table.jobs.end(), [](const job_record& job) { return has_ended(job.state); }));
    std::erase_if(table.jobs, [&ended](const job_record& job) {
        if (!has_ended(job.state) || ended <= max_ended_jobs) {
            return false;
        }
        --ended;
        return true;
    });
}

std::string encode_jobs(const job_table& table) {
    return encode_archive(table);
}

boost::leaf::result<job_table> decode_jobs(std::string_view bytes) {
    return decode_archive<job_table>(bytes);
}

} // namespace siskinpaddle
