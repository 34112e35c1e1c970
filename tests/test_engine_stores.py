"""Tests of KV transfers and of the weight store stand-in."""

import threading

import msgspec
import pytest
import urllib3
from deployment import free_address, wait_until

from engine_server import MODEL, running_engine, served
from martenrun.backends.kv_transfers import BlockTransfer, KvTransfers, TransferDirection
from martenrun.backends.weight_store import WeightStore
from martenrun.errors import StoreUnavailableError
from martenrun.identity.chain import chain_seed, hash_chain
from martenrun.standins.kv_store import KvStoreApplication
from martenrun.standins.weights import LoadPace, WeightStoreApplication

PROMPT = "n" * 40_000


def transfer(engine, tenant="growers", weights_version="v1"):
    chain = hash_chain(PROMPT.encode(), chain_seed(tenant, weights_version), 4_000)
    return BlockTransfer(engine.incarnation, weights_version, chain)


def test_exported_blocks_are_found_by_another_engine_for_the_same_tenant_only():
    with (
        served(KvStoreApplication(100, 0.0)) as store,
        running_engine(kv_store=store) as source,
        running_engine(kv_store=store) as target,
    ):
        source.run(prompt=PROMPT, cache_salt="growers", max_tokens=1)
        moved = KvTransfers(source.connections).move
        assert moved(source.address, TransferDirection.EXPORT, transfer(source)) == 10
        assert moved(target.address, TransferDirection.IMPORT, transfer(target, "others")) == 0
        assert moved(target.address, TransferDirection.IMPORT, transfer(target)) == 10
        result = target.run(prompt=PROMPT, cache_salt="growers", max_tokens=1)[1]
        assert result.cached_tokens == 10_000


@pytest.mark.parametrize("fault", ["crash", "weights", "store"])
def test_a_transfer_that_does_not_fit_moves_nothing(fault):
    store = free_address()
    with running_engine(kv_store=store) as engine:
        asked = transfer(engine, weights_version="v0" if fault == "weights" else "v1")
        engine.set_faults(crash=fault == "crash")
        moved = KvTransfers(engine.connections).move
        assert moved(engine.address, TransferDirection.IMPORT, asked) == 0
        assert engine.connections.describe(engine.address).cached_blocks == 0


def test_the_kv_store_keeps_the_models_apart_whose_versions_share_a_name():
    chain = hash_chain(PROMPT.encode(), chain_seed("growers", "v1"), 4_000)

    def ask(action, model):
        body = msgspec.json.encode({"model": model, "chain": chain})
        return urllib3.request("POST", f"http://{store}/v1/blocks/{action}", body=body).json()

    with served(KvStoreApplication(100, 0.0)) as store:
        assert ask("store", MODEL) == {"blocks": 10}
        assert ask("fetch", "ledger-app") == {"blocks": 0}
        assert ask("fetch", MODEL) == {"blocks": 10}


def test_loading_slows_only_beyond_the_full_rate():
    pace = LoadPace(load_s=6.0, full_rate_loads=3, overload_penalty=0.1)
    assert [pace.seconds(loads) for loads in (1, 3)] == [6.0, 6.0]
    assert pace.seconds(6) == pytest.approx(6.0 * 6 / (3 * 0.7))


def test_the_weight_store_tells_what_exists_and_counts_loads():
    application = WeightStoreApplication(LoadPace(load_s=0.05), [f"{MODEL}/v1"])
    with served(application) as address:
        store = WeightStore(address)
        assert (store.has(MODEL, "v1"), store.has(MODEL, "v2")) == (True, False)
        url = f"http://{address}/v1/weights/{MODEL}/v1"
        loads = [threading.Thread(target=urllib3.request, args=("GET", url)) for _ in range(2)]
        for load in loads:
            load.start()
        for load in loads:
            load.join()
        wait_until(lambda: application.counts.finished == 2, "both loads end", 5.0)
        assert application.counts.active == 0
        urllib3.request("POST", f"http://{address}/faults", body=b'{"down": true}')
        with pytest.raises(StoreUnavailableError):
            store.has(MODEL, "v1")
