// The administration API: routes to queries and commands, which live in files of their own.
//
//   GET  /admin/v1/table /draft /draft/changes /history /status /traces
//   PUT  /admin/v1/draft                      stores a draft over the accepted generation
//   POST /admin/v1/accept                     accepts the draft
//   POST /admin/v1/data-centres/{name}/out    takes out of service, and /in brings back
//   POST /admin/v1/hosts/{name}/out           the same for a host
#pragma once

#include "admin/commands.h"
#include "admin/queries.h"
#include "io/http_server.h"

namespace ebonymount {

class AdminApi {
public:
    AdminApi(Commands& commands, const Queries& queries)
        : m_commands(commands), m_queries(queries) {}

    HandlerResponse handle(const HandlerRequest& call);

private:
    HandlerResponse handle_query(const HandlerRequest& call);
    HandlerResponse handle_command(const HandlerRequest& call);

    Commands& m_commands;
    const Queries& m_queries;
};

}  // namespace ebonymount
