#include "stand_ins/common/serve.h"

#include "chervilpass/app/program.h"

namespace chervilpass::stand_ins {

void ServeUntilStopped(io::Runtime* runtime,
                       const LogSettings& log_settings,
                       const io::HttpServerSettings& settings,
                       const char* ready_event,
                       io::HttpHandler handler) {
  const Logger log(log_settings);
  const auto server = io::HttpServer::Create(
      runtime, settings, std::move(handler),
      [](unsigned status, std::string_view detail) {
        return io::HttpResponse{status, {}, std::string(detail)};
      });
  if (server.has_error()) {
    log.Error("listen.failed", {{"detail", server.error().detail}});
    app::ExitNow(app::kExitFailure);
  }
  log.Info(ready_event, {{"listen", settings.listen.ToText()}});
  runtime->WaitForStopSignal();
  app::ExitNow(app::kExitOk);
}

}  // namespace chervilpass::stand_ins
