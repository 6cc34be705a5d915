// HTTP status codes that the system's interfaces use.
#pragma once

namespace ebonymount::http {

constexpr int OK = 200;
constexpr int BAD_REQUEST = 400;
constexpr int NOT_FOUND = 404;
constexpr int CONFLICT = 409;
constexpr int PRECONDITION_FAILED = 412;
constexpr int TOO_LARGE = 413;
constexpr int UNPROCESSABLE = 422;
constexpr int TOO_MANY_REQUESTS = 429;
/// Sent by targets for a request that was cancelled or ran into its deadline.
constexpr int CANCELLED = 499;
constexpr int UNAVAILABLE = 503;
constexpr int TIMEOUT = 504;

}  // namespace ebonymount::http
