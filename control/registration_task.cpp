#include "control/registration_task.hpp"

namespace siskinpaddle {

namespace {

constexpr milliseconds check_interval = 500ms;

/// Decodes a stored fleet record; nothing when it is damaged. An absent value is an empty record.
std::optional<fleet_record> read_fleet(const stored_value& current) {
    if (current.version == 0) {
        return fleet_record{};
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<fleet_record>> {
            BOOST_LEAF_AUTO(fleet, decode_fleet(current.bytes));
            return std::optional<fleet_record>(std::move(fleet));
        },
        [] { return std::optional<fleet_record>(); });
}

} // namespace

registration_task::registration_task(event_loop& loop, const entry_settings& settings,
                                     platform_client& platform, state_task& state)
    : m_settings(settings), m_platform(platform), m_state(state),
      m_timer(loop.make_timer([this] { check(); })) {}

void registration_task::start() {
    check();
}

entry_record registration_task::own_record() const {
    return {m_settings.id,         m_settings.availability_zone, m_settings.peers.address,
            m_settings.peers.port, m_settings.operators.address, m_settings.operators.port,
            m_state.incarnation()};
}

void registration_task::check() {
    if (m_leaving) {
        return;
    }
    const bool registered = m_state.registered();
    if (m_was_registered && !registered) {
        log_event(event_id::registration_lost, {{"incarnation", m_state.incarnation()}});
    }
    m_was_registered = registered;
    if (!registered && !m_busy) {
        register_now();
    }
    m_timer->start(check_interval);
}

void registration_task::register_now() {
    m_busy = true;
    const auto change = [this](const stored_value& current) -> std::optional<std::string> {
        std::optional<fleet_record> fleet = read_fleet(current);
        if (!fleet || m_leaving) {
            return std::nullopt;
        }
        if (const entry_record* known = fleet->find_entry(m_settings.id)) {
            if (*known == own_record()) {
                return std::nullopt; // An earlier write whose answer was lost.
            }
            // The port that it names is bound by this process now, so the process that stood there has ended.
            m_state.raise_incarnation(known->incarnation);
        }
        fleet->put_entry(own_record());
        ++fleet->revision;
        fleet->write_id = m_settings.id + "-register-" + std::to_string(m_state.incarnation());
        return encode_fleet(*fleet);
    };
    m_platform.update(std::string(fleet_value), std::nullopt, change, [this](const store_answer& answer) {
        m_busy = false;
        if (answer.status != store_status::ok) {
            log_event(event_id::registration_failed, {{"status", name_of(answer.status)}});
            return;
        }
        m_state.adopt(std::string(fleet_value), answer.value);
        if (m_state.registered()) {
            log_event(event_id::registered,
                      {{"incarnation", m_state.incarnation()}, {"fleet", m_state.fleet().revision}});
        }
    });
}

void registration_task::deregister(std::function<void(bool)> done) {
    m_leaving = true;
    const auto change = [this](const stored_value& current) -> std::optional<std::string> {
        std::optional<fleet_record> fleet = read_fleet(current);
        const entry_record* known = fleet ? fleet->find_entry(m_settings.id) : nullptr;
        if (known == nullptr || known->incarnation != m_state.incarnation()) {
            return std::nullopt;
        }
        fleet->remove_entry(m_settings.id);
        ++fleet->revision;
        fleet->write_id = m_settings.id + "-deregister-" + std::to_string(m_state.incarnation());
        return encode_fleet(*fleet);
    };
    m_platform.update(std::string(fleet_value), std::nullopt, change,
                      [done = std::move(done)](const store_answer& answer) {
                          log_event(event_id::deregistered, {{"status", name_of(answer.status)}});
                          done(answer.status == store_status::ok);
                      });
}

} // namespace siskinpaddle
