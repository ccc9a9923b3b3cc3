"""Resolution of the model and service names of a configuration."""

import dataclasses
import functools

from wayslip import refusals
from wayslip.decisions import configuration


@dataclasses.dataclass(frozen=True)
class Target:
    """What an engine must hold to serve a name, and which engines may.

    Attributes:
        name: The name that callers use.
        model: The model that it belongs to.
        items: Items that must be resident, the version first.
        engines: The engines of the model's pool.
        engine_model: The model name in requests to the engine.
        fallback: The version that serves while no engine holds `items`, empty
            for none.
    """

    name: str
    model: str
    items: tuple[str, ...]
    engines: tuple[str, ...]
    engine_model: str
    fallback: str = ""


@dataclasses.dataclass(frozen=True)
class Catalog:
    """Names resolved against one generation of the configuration.

    Attributes:
        generation: The configuration's generation.
        targets: Targets by model, version or adapter name.
        services: Services by name.
        sizes: Sizes of items, bytes.
        placements: Planned items by engine.
        models: Models by name.
        pools: Pools by name.
    """

    generation: int
    targets: dict[str, Target]
    services: dict[str, configuration.Service]
    sizes: dict[str, int]
    placements: dict[str, tuple[str, ...]]
    models: dict[str, configuration.Model]
    pools: dict[str, configuration.Pool]

    def resolve(self, name: str) -> Target | refusals.Refusal:
        """Returns the target of a model, version or adapter name."""
        target = self.targets.get(name)
        if target is not None:
            return target
        return refusals.Refusal(
            refusals.Reason.UNKNOWN_MODEL,
            f"there is no model {name!r}; GET /v1/models lists them",
        )

    @functools.cached_property
    def required(self) -> frozenset[str]:
        """Items that must stay resident on at least one engine."""
        return frozenset(
            item for target in self.targets.values() for item in target.items
        )

    @functools.cached_property
    def successors(self) -> dict[str, str]:
        """The new version for each version that is being replaced."""
        return {
            target.fallback: target.items[0]
            for target in self.targets.values()
            if target.fallback
        }

    @functools.cached_property
    def engines_of_item(self) -> dict[str, tuple[str, ...]]:
        """The engines that may hold each item."""
        return {
            item: target.engines
            for target in self.targets.values()
            for item in target.items
        }


def build_catalog(config: configuration.Configuration) -> Catalog:
    """Returns the catalog of a configuration.

    A name whose model or pool is missing is left out. `find_fault` reports
    such a configuration.
    """
    kinds = configuration.Kind
    models = {m.name: m for m in config.values(kinds.MODEL)}  # type: ignore[union-attr]
    pools = {p.name: p for p in config.values(kinds.POOL)}  # type: ignore[union-attr]
    targets: dict[str, Target] = {}
    sizes: dict[str, int] = {}
    for version in config.values(kinds.VERSION):
        _add_version(version, models, pools, targets, sizes)  # type: ignore[arg-type]
    for adapter in config.values(kinds.ADAPTER):
        _add_adapter(adapter, models, pools, targets, sizes)  # type: ignore[arg-type]
    return Catalog(
        generation=config.generation,
        targets=targets,
        services={s.name: s for s in config.values(kinds.SERVICE)},  # type: ignore
        sizes=sizes,
        placements={p.engine: p.items for p in config.values(kinds.PLACEMENT)},  # type: ignore
        models=models,  # type: ignore[arg-type]
        pools=pools,  # type: ignore[arg-type]
    )


def _add_version(
    version: configuration.Version,
    models: dict[str, configuration.Model],
    pools: dict[str, configuration.Pool],
    targets: dict[str, Target],
    sizes: dict[str, int],
) -> None:
    model = models.get(version.model)
    if model is None or model.pool not in pools:
        return
    item = configuration.version_item(version.model, version.name)
    sizes[item] = version.size
    engines = pools[model.pool].engines
    targets[item] = Target(item, model.name, (item,), engines, item)
    if version.name == model.version:
        fallback = model.fallback and configuration.version_item(
            model.name, model.fallback
        )
        targets[model.name] = Target(
            model.name, model.name, (item,), engines, item, fallback
        )


def _add_adapter(
    adapter: configuration.Adapter,
    models: dict[str, configuration.Model],
    pools: dict[str, configuration.Pool],
    targets: dict[str, Target],
    sizes: dict[str, int],
) -> None:
    model = models.get(adapter.model)
    if model is None or model.pool not in pools:
        return
    base = configuration.version_item(adapter.model, adapter.version)
    sizes[adapter.name] = adapter.size
    targets[adapter.name] = Target(
        adapter.name,
        model.name,
        (base, adapter.name),
        pools[model.pool].engines,
        adapter.name,
    )


def find_fault(config: configuration.Configuration) -> str | None:
    """Returns the first inconsistency in a configuration, None if none."""
    catalog = build_catalog(config)
    for model in catalog.models.values():
        if model.pool not in catalog.pools:
            return f"model {model.name}: there is no pool {model.pool!r}"
        if model.name not in catalog.targets:
            return f"model {model.name}: there is no version {model.version!r}"
    names = set(catalog.models)
    for adapter in config.values(configuration.Kind.ADAPTER):
        base = configuration.version_item(adapter.model, adapter.version)  # type: ignore
        if base not in catalog.sizes:
            return f"adapter {adapter.name}: there is no {base}"  # type: ignore
        if adapter.name in names:  # type: ignore[union-attr]
            return f"adapter {adapter.name}: a model has that name"  # type: ignore
    for version in config.values(configuration.Kind.VERSION):
        if version.model not in names:  # type: ignore[union-attr]
            return f"version {configuration.get_name(version)}: no such model"
    return None
