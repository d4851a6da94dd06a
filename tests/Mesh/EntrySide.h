#pragma once

#include <asio.hpp>
#include <string>
#include <utility>

#include "Http1/LoopHttpServer.h"
#include "Mesh/EntryService.h"
#include "Mesh/MemberRows.h"

namespace fescueline::test {

/// Entry side of a node n0. The test supplies its callers and the members of
/// its fleet.
class EntrySide {
 public:
  EntrySide(asio::io_context& aIo, MeshSettings aSettings, HeaderNames aNames,
            ConfigHolder::Decoder aDecoder)
      : io(aIo),
        settings(std::move(aSettings)),
        names(std::move(aNames)),
        config(std::move(aDecoder)) {
    this->config.Apply("any");
  }
  EntrySide(const EntrySide&) = delete;
  EntrySide& operator=(const EntrySide&) = delete;

  /// Adds a node beside a target of the service "fees".
  void AddMember(const std::string& aName, uint16_t aPort) {
    this->fleet.OnChanges(
        {MemberRow(LocalMember(aName, aPort), ++this->memberVersion)});
  }

  asio::io_context& io;
  MeshSettings settings;
  HeaderNames names;
  ConfigHolder config;
  Metrics metrics;
  ThresholdTable thresholds{{}, 1};
  RunningRequests running;
  MeshContext context{.io = this->io,
                      .settings = this->settings,
                      .headers = this->names,
                      .config = this->config,
                      .metrics = this->metrics,
                      .thresholds = this->thresholds,
                      .running = this->running};
  MeshFleet fleet{
      {.io = this->io,
       .self = {"n0", Id128::Generate(), "secret"},
       .table = {.dataCentre = "d1", .region = "r1"},
       .picker = {},
       .onState = [](const std::string&, const StateWire&) {},
       .onPong = [](const std::string&, const StateWire&, TimePoint) {},
       .onMessage = [](const std::string&, const DecodedFrame&) {}}};
  GrantHolder grants{GrantSettings{},
                     [](const auto&, const auto&) { return false; }, [] {}};
  EntryService service{{.context = this->context,
                        .fleet = this->fleet,
                        .grants = this->grants,
                        .fleetSecret = "secret"}};
  LoopHttpServer callers{{.io = this->io,
                          .host = "127.0.0.1",
                          .onRequest = [this](HttpExchangePtr aExchange) {
                            this->service.OnRequest(std::move(aExchange));
                          }}};

 private:
  uint64_t memberVersion = 0;
};

}  // namespace fescueline::test
